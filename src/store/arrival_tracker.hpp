// Tracks how often jobs of each class arrive. Every controller does so, so that a newly elected leader knows
// the demand immediately.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "config/settings.hpp"
#include "model/model.hpp"
#include "scheduling/snapshot.hpp"

namespace pineroad::store {

// Keeps the arrivals of jobs by class over the last constants::demand_window_s seconds. All times are seconds
// on the steady clock.
class ArrivalTracker {
   public:
    // Records that a job became ready for scheduling at `now`. To bound memory, classes beyond
    // constants::max_demand_classes are ignored and only the latest constants::max_arrivals_per_class
    // arrivals of a class are kept.
    void record_arrival(const model::JobSpec& spec, double now);
    // Returns the demand of each tracked class: arrivals per second, the tightest start objective in seconds
    // and the latest job as a sample.
    [[nodiscard]] std::map<std::string, scheduling::ClassDemand> by_class(const config::Settings& settings,
                                                                          double now) const;

   private:
    // The arrivals of one class.
    struct ClassArrivals {
        model::JobSpec sample_job;    // the latest job of the class
        double first_arrival = 0;     // time of the first arrival; 0: none yet
        std::deque<double> arrivals;  // times, in ascending order
    };
    // Returns the arrival rate over at most the demand window. The first constants::demand_warm_up_s seconds
    // after the first arrival of a class are left out.
    [[nodiscard]] static double arrivals_per_s(const ClassArrivals& job_class, double now);

    std::map<std::string, ClassArrivals> classes_;
};

}  // namespace pineroad::store
