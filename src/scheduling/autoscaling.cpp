#include "scheduling/autoscaling.hpp"

#include <algorithm>
#include <climits>
#include <cmath>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "scheduling/eligibility.hpp"
#include "scheduling/reservation.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::scheduling {
namespace {

// A machine that will become available: already booting, or requested by this plan.
struct ExpectedMachine {
    std::string type, zone;
    bool spot = false;
    model::Resources free;             // capacity minus the tasks that this plan places on it
    int max_eligible_pools = INT_MAX;  // jobs with more eligible pools may not use it
};

// Pending work of a job class, and the tasks that reduce it.
struct ClassQueue {
    double work_s = 0;        // pending work in task-seconds
    double active_tasks = 0;  // tasks that run, or that this plan places on expected machines
};

// Returns the only zone that the job may still use; empty if there are several.
std::string required_zone(const PendingJob& job) {
    if (job.spec->zone) return *job.spec->zone;
    if (job.spec->same_zone)
        for (const auto& [zone, tasks] : job.tasks_by_zone)
            if (tasks > 0) return zone;
    return "";
}

// One round of autoscaling. Works on its own copy of the snapshot, in which it accounts for the tasks that it
// places.
class AutoscalingRound {
   public:
    explicit AutoscalingRound(Snapshot snapshot) : snapshot_(std::move(snapshot)) {}
    AutoscalingPlan run();

   private:
    void collect_booting_machines();
    void shrink_reservation_holder(const Reservation& reservation);
    void measure_queues();

    // Finds room for the job's pending tasks on expected machines, or requests machines for them.
    void provision_for(PendingJob& job);
    // Drops the tasks of an array that can start in time on machines freed by running tasks of its class.
    void drop_tasks_served_in_time(PendingJob& job);
    // Places pending tasks on the expected machines from index `first_machine` on. Returns whether none is
    // left.
    bool place_on_expected(PendingJob& job, std::size_t first_machine);
    std::size_t place_tasks_on(PendingJob& job, ExpectedMachine& machine, std::size_t max_tasks);
    void request_machines_for(PendingJob& job);
    [[nodiscard]] bool queue_is_short(const PendingJob& job, const MachinePool& pool) const;

    [[nodiscard]] double running_tasks_for(const PendingJob& job, const std::string& zone) const;
    [[nodiscard]] double pending_tasks_of_class(const std::string& job_class) const;
    [[nodiscard]] const MachinePool* cheapest_pool(const PendingJob& job, double tasks) const;
    void request(const MachinePool& pool);

    // Provides spare machines for classes whose objective for the start time is shorter than the boot time:
    // first adds idle machines to `kept_machines`, then claims expected ones, then requests machines.
    void provision_headroom(std::set<std::string>& kept_machines);
    int keep_idle_machines(const model::JobSpec& sample_job, int missing,
                           std::set<std::string>& kept_machines) const;
    int claim_expected_machines(const model::JobSpec& sample_job, int missing);
    void request_headroom(const model::JobSpec& sample_job, int missing);

    void scale_in(const std::set<std::string>& kept_machines);
    [[nodiscard]] double idle_timeout_factor(const MachineSnapshot& machine) const;

    Snapshot snapshot_;
    AutoscalingPlan plan_;
    // Booting machines, followed by those that this round requests.
    std::vector<ExpectedMachine> expected_machines_;
    std::vector<PendingJob*> queue_;
    std::map<std::string, ClassQueue> class_queues_;
    double longest_boot_s_ = 0;
    // Pending task-seconds by class and zone (empty: any) that are already assigned to the machines of
    // running tasks.
    std::map<std::pair<std::string, std::string>, double> assigned_work_s_;
};

AutoscalingPlan AutoscalingRound::run() {
    collect_booting_machines();
    // The reservation used by place_tasks() may be outdated: since then its holder may have been placed,
    // machines filled or a team's quota used up. It is therefore recomputed from the remaining pending jobs.
    const auto reservation = reserve_machines(snapshot_);
    shrink_reservation_holder(reservation);
    queue_ = pending_queue(snapshot_.jobs);
    measure_queues();
    for (auto* job : queue_) provision_for(*job);
    auto kept_machines = reservation.machines;
    provision_headroom(kept_machines);
    scale_in(kept_machines);
    return std::move(plan_);
}

void AutoscalingRound::collect_booting_machines() {
    const auto reserved = constrained_class_reservations(snapshot_);
    for (const auto& machine : snapshot_.machines) {
        if (!machine.booting) continue;
        const auto found = reserved.find(machine.id);
        expected_machines_.push_back({machine.type, machine.zone, machine.spot, machine.free,
                                      found == reserved.end() ? INT_MAX : found->second});
    }
}

// Drops one pending task of the gang that holds the reservation for each reserved machine, so that fewer new
// machines are requested for it.
void AutoscalingRound::shrink_reservation_holder(const Reservation& reservation) {
    for (auto& job : snapshot_.jobs)
        if (job.spec->id == reservation.job)
            job.pending_tasks.resize(job.pending_tasks.size() -
                                     std::min(job.pending_tasks.size(), reservation.machines.size()));
}

void AutoscalingRound::measure_queues() {
    for (const auto* job : queue_)
        class_queues_[job->spec->job_class].work_s +=
            static_cast<double>(job->pending_tasks.size()) * job->expected_run_s;
    for (const auto& [job_class, demand] : snapshot_.demand)
        class_queues_[job_class].active_tasks = demand.running_tasks;
    for (const auto& pool : snapshot_.pools) longest_boot_s_ = std::max(longest_boot_s_, pool.type->boot_s);
}

void AutoscalingRound::provision_for(PendingJob& job) {
    if (job.spec->shape == model::Shape::array) drop_tasks_served_in_time(job);
    if (job.pending_tasks.empty() || place_on_expected(job, 0)) return;
    request_machines_for(job);
}

// While a new machine boots, or until the objective requires a start, the room that a running task of the
// class occupies can serve several short tasks one after another, which need no new machine. Of the remaining
// tasks, those that new machines can run one after another in this time are dropped too.
void AutoscalingRound::drop_tasks_served_in_time(PendingJob& job) {
    const auto zone = required_zone(job);
    const auto& tuning = *snapshot_.tuning;
    const double running_tasks = running_tasks_for(job, zone);
    const double horizon_s =
        std::max(tuning.queue_slack_share * job.slack_s, tuning.drain_boot_times * longest_boot_s_);
    const auto pending_task_count = static_cast<double>(job.pending_tasks.size());
    double work_s = pending_task_count * job.expected_run_s;
    auto& assigned_s = assigned_work_s_[{job.spec->job_class, zone}];
    const double served_s = std::clamp(running_tasks * horizon_s - assigned_s, 0.0, work_s);
    assigned_s += served_s;
    work_s -= served_s;
    // The 0.01 avoids an additional task due to rounding errors.
    const double needed = std::ceil(work_s / std::max(horizon_s, job.expected_run_s) - 0.01);
    if (needed < pending_task_count)
        job.pending_tasks.resize(static_cast<std::size_t>(std::max(needed, 0.0)));
}

bool AutoscalingRound::place_on_expected(PendingJob& job, std::size_t first_machine) {
    const auto& spec = *job.spec;
    std::size_t placed = 0;
    const int eligible_pools = eligible_pool_count(snapshot_, spec);
    for (std::size_t i = first_machine; i < expected_machines_.size() && placed < job.pending_tasks.size();
         ++i) {
        auto& machine = expected_machines_[i];
        if (!spec.task_resources.fits_in(machine.free) || eligible_pools > machine.max_eligible_pools ||
            !allowed_on(spec, machine.type, machine.zone, machine.spot) || !zone_allowed(job, machine.zone))
            continue;
        placed += place_tasks_on(job, machine, job.pending_tasks.size() - placed);
    }
    job.pending_tasks.erase(job.pending_tasks.begin(),
                            job.pending_tasks.begin() + static_cast<std::ptrdiff_t>(placed));
    return job.pending_tasks.empty();
}

// Places as many tasks as the machine, the team's quota and the job's zone constraints allow. Returns their
// number.
std::size_t AutoscalingRound::place_tasks_on(PendingJob& job, ExpectedMachine& machine,
                                             std::size_t max_tasks) {
    const auto& spec = *job.spec;
    std::size_t tasks = 0;
    while (tasks < max_tasks && spec.task_resources.fits_in(machine.free) &&
           within_team_quota(snapshot_, spec, 1)) {
        machine.free -= spec.task_resources;
        ++job.tasks_by_zone[machine.zone];
        auto& usage = snapshot_.usage[spec.team];
        usage.cpus += spec.task_resources.cpus;
        usage.gpus += spec.task_resources.gpus;
        ++class_queues_[spec.job_class].active_tasks;
        ++tasks;
        if (!zone_allowed(job, machine.zone)) break;
    }
    return tasks;
}

void AutoscalingRound::request_machines_for(PendingJob& job) {
    double class_tasks = pending_tasks_of_class(job.spec->job_class);
    while (!job.pending_tasks.empty()) {
        if (!within_team_quota(snapshot_, *job.spec, 1)) break;
        const auto* pool = cheapest_pool(job, class_tasks);
        if (!pool || queue_is_short(job, *pool)) break;
        request(*pool);
        const auto pending_before = job.pending_tasks.size();
        place_on_expected(job, expected_machines_.size() - 1);
        if (job.pending_tasks.size() == pending_before) break;
        class_tasks -= static_cast<double>(pending_before - job.pending_tasks.size());
    }
}

// Returns whether the class's queue is too short to justify a machine of the pool. Expensive machines need a
// longer queue than cheap ones, because other machines may become free before they have booted.
bool AutoscalingRound::queue_is_short(const PendingJob& job, const MachinePool& pool) const {
    const auto& spec = *job.spec;
    if (spec.shape != model::Shape::array || running_tasks_for(job, required_zone(job)) <= 0) return false;
    const auto& tuning = *snapshot_.tuning;
    const auto& queue = class_queues_.at(spec.job_class);
    const double extra_queue_factor =
        std::pow(price_ratio(snapshot_, spec, pool.type->name, pool.spot), tuning.price_ratio_exponent) - 1;
    return queue.work_s < queue.active_tasks * tuning.drain_boot_times * longest_boot_s_ * extra_queue_factor;
}

// Returns the number of running tasks of the job's class in `zone` (empty: any). Tasks that end in another
// zone make no room for a job that is bound to one: after the loss of a zone, such a job waited forever
// behind tasks of its class in the other zone.
double AutoscalingRound::running_tasks_for(const PendingJob& job, const std::string& zone) const {
    const auto& job_class = job.spec->job_class;
    const auto demand = snapshot_.demand.find(job_class);
    const double of_class = demand == snapshot_.demand.end() ? 0 : demand->second.running_tasks;
    if (zone.empty()) return of_class;
    double in_zone = 0;
    for (const auto& machine : snapshot_.machines)
        if (machine.zone == zone && machine.job_classes.contains(job_class)) in_zone += machine.running_tasks;
    return std::min(of_class, in_zone);
}

double AutoscalingRound::pending_tasks_of_class(const std::string& job_class) const {
    double tasks = 0;
    for (const auto* job : queue_)
        if (job->spec->job_class == job_class) tasks += static_cast<double>(job->pending_tasks.size());
    return tasks;
}

// Returns the pool with the lowest price per task, counting at most `tasks` tasks per machine; nullptr if no
// machine can be requested.
const MachinePool* AutoscalingRound::cheapest_pool(const PendingJob& job, double tasks) const {
    const auto& spec = *job.spec;
    const MachinePool* best = nullptr;
    double best_price = 0;
    for (const auto& pool : snapshot_.pools) {
        if (pool.lacks_capacity || !allowed_on(spec, pool) || !zone_allowed(job, pool.zone)) continue;
        const int capacity = task_capacity(spec, pool.type->capacity);
        if (capacity < 1) continue;
        const double price = pool.price() / std::min<double>(capacity, std::max(tasks, 1.0));
        if (best && price >= best_price) continue;
        best = &pool;
        best_price = price;
    }
    return best;
}

void AutoscalingRound::request(const MachinePool& pool) {
    expected_machines_.push_back({pool.type->name, pool.zone, pool.spot, pool.type->capacity});
    for (auto& scale_out : plan_.scale_out)
        if (scale_out.type == pool.type->name && scale_out.zone == pool.zone && scale_out.spot == pool.spot) {
            ++scale_out.count;
            return;
        }
    plan_.scale_out.push_back({pool.type->name, pool.zone, pool.spot, 1});
}

void AutoscalingRound::provision_headroom(std::set<std::string>& kept_machines) {
    for (const auto& [job_class, demand] : snapshot_.demand) {
        int missing = headroom_task_count(snapshot_, demand);
        missing = keep_idle_machines(demand.sample_job, missing, kept_machines);
        missing = claim_expected_machines(demand.sample_job, missing);
        request_headroom(demand.sample_job, missing);
    }
}

// Keeps idle machines, which are the cheapest headroom. Returns how many are still missing.
int AutoscalingRound::keep_idle_machines(const model::JobSpec& sample_job, int missing,
                                         std::set<std::string>& kept_machines) const {
    for (const auto& machine : snapshot_.machines) {
        if (missing <= 0) break;
        if (!machine.ready || machine.busy || kept_machines.contains(machine.id)) continue;
        if (!allowed_on(sample_job, machine) || !sample_job.task_resources.fits_in(machine.free)) continue;
        kept_machines.insert(machine.id);
        --missing;
    }
    return missing;
}

// Claims room for one task on each expected machine that has it. Returns how many are still missing.
int AutoscalingRound::claim_expected_machines(const model::JobSpec& sample_job, int missing) {
    for (auto& machine : expected_machines_) {
        if (missing <= 0) break;
        if (!allowed_on(sample_job, machine.type, machine.zone, machine.spot) ||
            !sample_job.task_resources.fits_in(machine.free))
            continue;
        machine.free -= sample_job.task_resources;
        --missing;
    }
    return missing;
}

void AutoscalingRound::request_headroom(const model::JobSpec& sample_job, int missing) {
    PendingJob arrival;
    arrival.spec = &sample_job;
    for (; missing > 0; --missing) {
        const auto* pool = cheapest_pool(arrival, 1);
        if (!pool) break;
        request(*pool);
        expected_machines_.back().free -= sample_job.task_resources;
    }
}

// Releases machines that have been idle for the idle timeout, scaled by idle_timeout_factor().
void AutoscalingRound::scale_in(const std::set<std::string>& kept_machines) {
    for (const auto& machine : snapshot_.machines) {
        if (!machine.ready || machine.busy || kept_machines.contains(machine.id)) continue;
        if (machine.idle_s >= snapshot_.tuning->idle_timeout_s * idle_timeout_factor(machine))
            plan_.scale_in.push_back(machine.id);
    }
}

// The more expensive a machine is for the expected work, the sooner it is released: returns 1 for the
// cheapest machine and 0 for one that no class can use.
double AutoscalingRound::idle_timeout_factor(const MachineSnapshot& machine) const {
    double factor = snapshot_.demand.empty() ? 1.0 : 0.0;
    for (const auto& [job_class, demand] : snapshot_.demand)
        if (demand.arrivals_per_s > 0 && allowed_on(demand.sample_job, machine) &&
            demand.sample_job.task_resources.fits_in(machine.free))
            factor =
                std::max(factor, 1.0 / price_ratio(snapshot_, demand.sample_job, machine.type, machine.spot));
    return factor;
}

}  // namespace

AutoscalingPlan plan_autoscaling(Snapshot snapshot) {
    return AutoscalingRound(std::move(snapshot)).run();
}

}  // namespace pineroad::scheduling
