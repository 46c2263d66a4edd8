#include "scheduling/xfactor.hpp"

#include <algorithm>

namespace pineroad::scheduling {
namespace {

// Returns the band of the value: 0, 1 or 2 if it is below 1, 4 or 16 times the unit, otherwise 3.
int band(double value, double unit) {
    if (value < unit) return 0;
    if (value < 4 * unit) return 1;
    return value < 16 * unit ? 2 : 3;
}

}  // namespace

double xfactor(double waited_s, double estimate_s) {
    const double run_s = std::max(estimate_s, 1.0);
    return (std::max(waited_s, 0.0) + run_s) / run_s;
}

std::vector<PendingJob*> pending_queue(std::vector<PendingJob>& jobs) {
    std::vector<PendingJob*> queue;
    for (auto& job : jobs)
        if (!job.pending_tasks.empty()) queue.push_back(&job);
    std::stable_sort(queue.begin(), queue.end(),
                     [](const PendingJob* a, const PendingJob* b) { return a->xfactor > b->xfactor; });
    return queue;
}

double width(const model::JobSpec& spec) {
    return spec.task_resources.cpus * (spec.shape == model::Shape::gang ? spec.task_count : 1);
}

std::string category(const model::JobSpec& spec, const config::Tuning& tuning) {
    return "w" + std::to_string(band(width(spec), tuning.category_width_cpus)) + "l" +
           std::to_string(band(spec.estimate_s, tuning.category_length_s));
}

}  // namespace pineroad::scheduling
