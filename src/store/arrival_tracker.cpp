#include "store/arrival_tracker.hpp"

#include <algorithm>
#include <optional>

#include "config/constants.hpp"

namespace pineroad::store {
namespace {

// Returns the shortest time, in seconds, within which an objective requires jobs of the class to start.
std::optional<double> tightest_start_objective(const config::Settings& settings,
                                               const std::string& job_class) {
    std::optional<double> tightest;
    for (const auto& objective : settings.objectives)
        if (objective.job_class == job_class && objective.kind == config::ObjectiveKind::start &&
            objective.within_s)
            tightest = std::min(tightest.value_or(*objective.within_s), *objective.within_s);
    return tightest;
}

}  // namespace

void ArrivalTracker::record_arrival(const model::JobSpec& spec, double now) {
    if (!classes_.contains(spec.job_class) && classes_.size() >= constants::max_demand_classes) return;
    auto& job_class = classes_[spec.job_class];
    auto& arrivals = job_class.arrivals;
    if (arrivals.empty() && job_class.first_arrival == 0) job_class.first_arrival = now;
    job_class.sample_job = spec;
    arrivals.push_back(now);
    const double window_start = now - constants::demand_window_s;
    while (arrivals.size() > constants::max_arrivals_per_class ||
           (!arrivals.empty() && arrivals.front() < window_start))
        arrivals.pop_front();
}

double ArrivalTracker::arrivals_per_s(const ClassArrivals& job_class, double now) {
    const double counted_from =
        std::max(job_class.first_arrival + constants::demand_warm_up_s, now - constants::demand_window_s);
    const auto count = std::count_if(job_class.arrivals.begin(), job_class.arrivals.end(),
                                     [counted_from](double arrival) { return arrival >= counted_from; });
    return static_cast<double>(count) / std::max(now - counted_from, constants::min_demand_window_s);
}

std::map<std::string, scheduling::ClassDemand> ArrivalTracker::by_class(const config::Settings& settings,
                                                                        double now) const {
    std::map<std::string, scheduling::ClassDemand> demand;
    for (const auto& [name, job_class] : classes_) {
        auto& class_demand = demand[name];
        class_demand.sample_job = job_class.sample_job;
        class_demand.arrivals_per_s = arrivals_per_s(job_class, now);
        class_demand.start_within_s = tightest_start_objective(settings, name);
    }
    return demand;
}

}  // namespace pineroad::store
