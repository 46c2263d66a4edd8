// How often jobs of each class arrive. Every controller tracks it, so that a new leader knows the demand at
// once.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "config/settings.hpp"
#include "model/model.hpp"
#include "scheduling/snapshot.hpp"

namespace pineroad::store {

// Arrivals of jobs by class within the last constants::demand_window_s seconds. All times are seconds of the
// steady clock.
class ArrivalTracker {
   public:
    // Records that a job became ready for scheduling at `now`. Classes beyond constants::demand_classes are
    // not tracked, and of one class only the latest constants::demand_arrivals arrivals are kept: both bound
    // memory.
    void record_arrival(const model::JobSpec& spec, double now);
    // The demand of each tracked class: arrivals per second, the tightest objective for starting (in seconds)
    // and the latest job as a sample.
    [[nodiscard]] std::map<std::string, scheduling::ClassDemand> by_class(const config::Settings& settings,
                                                                          double now) const;

   private:
    // The arrivals of one class.
    struct ClassArrivals {
        model::JobSpec sample;        // the latest job of the class
        double first_arrival = 0;     // when the first one arrived; 0: none has
        std::deque<double> arrivals;  // times, in ascending order
    };
    // Over the time since the class's first arrivals settled, and at most the window.
    [[nodiscard]] static double arrivals_per_s(const ClassArrivals& job_class, double now);

    std::map<std::string, ClassArrivals> classes_;
};

}  // namespace pineroad::store
