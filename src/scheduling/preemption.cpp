#include "scheduling/preemption.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

#include "scheduling/eligibility.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::scheduling {
namespace {

using model::amount_tolerance;

TeamUsage usage_of(const Snapshot& snapshot, const std::string& team) {
    const auto found = snapshot.usage.find(team);
    return found == snapshot.usage.end() ? TeamUsage{} : found->second;
}

// Checks the rules of the protocol ("Preemption"), which apply in addition to the three tests of the design:
// a job may preempt jobs of a lower priority. A team that stays within its guarantee may also preempt jobs of
// a team that exceeds its own.
bool may_preempt(const Snapshot& snapshot, const PendingJob& preemptor, const RunningGang& victim) {
    if (preemptor.priority < victim.priority) return true;
    const auto &preemptor_spec = *preemptor.spec, &victim_spec = *victim.spec;
    if (preemptor_spec.team == victim_spec.team) return false;
    const auto* preemptor_team = snapshot.settings->find_team(preemptor_spec.team);
    const auto* victim_team = snapshot.settings->find_team(victim_spec.team);
    if (!preemptor_team || !victim_team || (preemptor_team->cpus <= 0 && preemptor_team->gpus <= 0))
        return false;
    const auto preemptor_usage = usage_of(snapshot, preemptor_spec.team);
    const auto victim_usage = usage_of(snapshot, victim_spec.team);
    const double tasks = preemptor_spec.shape == model::Shape::gang ? preemptor_spec.task_count : 1;
    const auto& task = preemptor_spec.task_resources;
    const bool within_guarantee =
        preemptor_usage.cpus + tasks * task.cpus <= preemptor_team->cpus + amount_tolerance &&
        preemptor_usage.gpus + tasks * task.gpus <= preemptor_team->gpus + amount_tolerance;
    const bool over_guarantee = victim_usage.cpus > victim_team->cpus + amount_tolerance ||
                                victim_usage.gpus > victim_team->gpus + amount_tolerance;
    return within_guarantee && over_guarantee;
}

// Returns the average slowdown of the job's category; 1 (no slowdown) if no job of the category has
// completed.
double category_average(const Snapshot& snapshot, const model::JobSpec& spec) {
    const auto found = snapshot.category_averages.find(category(spec, *snapshot.tuning));
    const bool unknown = found == snapshot.category_averages.end() || found->second.count == 0;
    return unknown ? 1.0 : found->second.mean;
}

bool is_eligible_victim(const Snapshot& snapshot, const PendingJob& preemptor, const RunningGang& victim) {
    if (!victim.stoppable || victim.spec->checkpoint_interval_s <= 0) return false;
    if (!may_preempt(snapshot, preemptor, victim)) return false;
    const auto& tuning = *snapshot.tuning;
    if (preemptor.xfactor < tuning.preemption_factor * victim.xfactor) return false;
    if (width(*victim.spec) > tuning.max_victim_width_ratio * width(*preemptor.spec)) return false;
    // In section 4.5 of the paper, the text bounds the victim's xfactor but the formula bounds the
    // preemptor's. The design follows the text.
    return victim.xfactor <= tuning.category_multiplier * category_average(snapshot, *victim.spec);
}

// Returns all running gangs that the preemptor may stop, widest first.
std::vector<const RunningGang*> eligible_victims(const Snapshot& snapshot, const PendingJob& preemptor) {
    std::vector<const RunningGang*> victims;
    for (const auto& gang : snapshot.running_gangs)
        if (is_eligible_victim(snapshot, preemptor, gang)) victims.push_back(&gang);
    std::stable_sort(victims.begin(), victims.end(), [](const RunningGang* a, const RunningGang* b) {
        return width(*a->spec) > width(*b->spec);
    });
    return victims;
}

// Returns whether the preemptor (a whole gang, or one task of an array) can be placed once the first `count`
// victims have stopped.
bool fits_after_stopping(const Snapshot& snapshot, const PendingJob& preemptor,
                         const std::vector<const RunningGang*>& victims, std::size_t count) {
    std::map<std::string, model::Resources> freed;
    for (std::size_t i = 0; i < count; ++i)
        for (const auto& machine : victims[i]->machines) freed[machine] += victims[i]->spec->task_resources;
    Snapshot trial;  // only the preemptor: no demand, so no machines are reserved for job classes
    trial.machines = snapshot.machines;
    trial.pools = snapshot.pools;
    trial.usage = snapshot.usage;
    trial.settings = snapshot.settings;
    trial.tuning = snapshot.tuning;
    for (auto& machine : trial.machines)
        if (const auto found = freed.find(machine.id); found != freed.end()) machine.free += found->second;
    trial.jobs.push_back(preemptor);
    trial.jobs.back().waited_s = 0;  // no reservation in the trial
    return !place_tasks(trial).empty();
}

// Returns how many victims, in the given order, must be stopped to make room for the preemptor; 0 if stopping
// all of them is not enough. Uses binary search: more victims free more resources.
std::size_t min_victim_count(const Snapshot& snapshot, const PendingJob& preemptor,
                             const std::vector<const RunningGang*>& victims) {
    if (victims.empty() || !fits_after_stopping(snapshot, preemptor, victims, victims.size())) return 0;
    std::size_t low = 1, high = victims.size();
    while (low < high) {
        const auto middle = (low + high) / 2;
        if (fits_after_stopping(snapshot, preemptor, victims, middle))
            high = middle;
        else
            low = middle + 1;
    }
    return low;
}

}  // namespace

std::optional<Preemption> select_preemption(const Snapshot& snapshot) {
    auto jobs = snapshot.jobs;
    for (const auto* preemptor : pending_queue(jobs)) {
        const auto victims = eligible_victims(snapshot, *preemptor);
        const auto count = min_victim_count(snapshot, *preemptor, victims);
        if (count == 0) continue;  // stopping all of them is not enough, so none is stopped
        Preemption preemption{preemptor->spec->id, {}};
        for (std::size_t i = 0; i < count; ++i) preemption.victims.push_back(victims[i]->spec->id);
        return preemption;
    }
    return std::nullopt;
}

}  // namespace pineroad::scheduling
