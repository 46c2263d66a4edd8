#include "cluster/snapshot_builder.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "cluster/infeasible_jobs.hpp"
#include "config/constants.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::cluster {

namespace c = constants;
using model::TaskState;

namespace {
// Returns the tasks that are neither done nor placed, in ascending order, at most as many as one round
// considers. Ranges of done tasks are skipped, so that a job of 100,000 tasks costs only as much as its
// remaining tasks.
std::vector<std::uint32_t> pending_tasks(const Job& job, const std::set<model::TaskId>& unknown_tasks) {
    std::vector<std::uint32_t> pending;
    for (std::uint32_t task = 0; task < job.spec->task_count && pending.size() < c::pending_task_window;) {
        const auto done = job.progress.done.find(task);
        if (done != job.progress.done.end()) {
            task = boost::icl::last(*done) + 1;
            continue;
        }
        const bool runs_without_placement = !unknown_tasks.empty() && unknown_tasks.contains({job.id, task});
        if (!job.placements.contains(task) && !runs_without_placement) pending.push_back(task);
        ++task;
    }
    return pending;
}

// Returns whether the gang's current attempt is being aborted. The gang starts again as a whole once the last
// member has ended.
bool is_aborting(const Job& job) {
    if (!job.is_gang() || job.placements.empty()) return false;
    return job.gang_has_run || std::any_of(job.placements.begin(), job.placements.end(),
                                           [](const auto& entry) { return entry.second.is_stopping(); });
}
}  // namespace

scheduling::Snapshot SnapshotBuilder::build(const DemandByClass& demand) const {
    scheduling::Snapshot snapshot;
    snapshot.settings = &context_.settings;
    snapshot.tuning = &context_.tuning;
    snapshot.category_averages = averages_.values();
    snapshot.demand = demand;
    add_pools(snapshot);
    const auto unknown = unknown_tasks();
    for (const auto& [id, job] : jobs_.all()) {
        add_quota_usage(snapshot, job);
        if (jobs_.may_run(job)) add_job(snapshot, job, unknown);
    }
    remove_infeasible_jobs(snapshot, jobs_, machines_);
    for (const auto& [id, machine] : machines_.all()) {
        const auto* type = machines_.types().find(machine.type);
        if (type && !machine.releasing) snapshot.machines.push_back(machine_snapshot(machine, *type));
    }
    return snapshot;
}

void SnapshotBuilder::add_pools(scheduling::Snapshot& snapshot) const {
    for (const auto& type : machines_.types().all())
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                auto& pool = snapshot.pools.emplace_back(scheduling::MachinePool{&type, zone, spot});
                pool.lacks_capacity = provisioning_.lacks_capacity(pool, context_.now_s);
            }
}

std::set<model::TaskId> SnapshotBuilder::unknown_tasks() const {
    std::set<model::TaskId> unknown;
    for (const auto& [id, machine] : machines_.all())
        for (const auto& task : machine.unknown_tasks) unknown.insert(task.task);
    return unknown;
}

// Placements of cancelled jobs count until the tasks are known to have left their machines.
void SnapshotBuilder::add_quota_usage(scheduling::Snapshot& snapshot, const Job& job) const {
    if (job.placements.empty()) return;
    auto& usage = snapshot.usage[job.progress.team];
    const auto tasks = static_cast<double>(job.placements.size());
    usage.cpus += tasks * job.progress.task_resources.cpus;
    usage.gpus += tasks * job.progress.task_resources.gpus;
}

void SnapshotBuilder::add_job(scheduling::Snapshot& snapshot, const Job& job,
                              const std::set<model::TaskId>& unknown_tasks) const {
    if (auto demand = snapshot.demand.find(job.spec->job_class); demand != snapshot.demand.end())
        demand->second.running_tasks += static_cast<double>(job.placements.size());
    if (job.is_gang() && !job.placements.empty()) snapshot.running_gangs.push_back(running_gang(job));
    auto pending = pending_job(job, unknown_tasks);
    if (!pending.pending_tasks.empty()) snapshot.jobs.push_back(std::move(pending));
}

scheduling::RunningGang SnapshotBuilder::running_gang(const Job& job) const {
    scheduling::RunningGang gang;
    gang.spec = &*job.spec;
    gang.priority = jobs_.dependencies().priority(*job.spec);
    gang.xfactor = job.xfactor_at_start;
    gang.stoppable = job.gang_has_run;
    for (const auto& [task, placement] : job.placements) {
        gang.machines.push_back(placement.machine);
        gang.stoppable = gang.stoppable && placement.is_confirmed() &&
                         placement.state == TaskState::running && !placement.is_stopping();
    }
    return gang;
}

scheduling::PendingJob SnapshotBuilder::pending_job(const Job& job,
                                                    const std::set<model::TaskId>& unknown_tasks) const {
    const auto& spec = *job.spec;
    scheduling::PendingJob pending;
    pending.spec = &spec;
    pending.priority = jobs_.dependencies().priority(spec);
    const double waited_s = std::max(0.0, age_s(job) - job.progress.checkpointed_run_s);
    // Lost run time counts as waiting time for the expansion factor, but `waited_s` of a gang that was placed
    // before counts only from the end of its last attempt: a gang that ran recently was not starved.
    const bool was_placed_before = job.progress.next_attempt > 1;
    pending.waited_s =
        was_placed_before ? std::min(waited_s, context_.now_s - job.waiting_since_s) : waited_s;
    // A job that only fails gains no priority from the time that its failures take.
    const bool never_succeeded = job.failures.count > 0 && job.progress.done.empty();
    pending.xfactor = never_succeeded ? 1.0 : scheduling::xfactor(waited_s, spec.estimate_s);
    pending.slack_s = slack_s(job);
    pending.expected_run_s = estimates_.expected_run_s(spec);
    pending.in_pipeline = jobs_.dependencies().in_pipeline(spec);
    pending.excluded_machines = job.failures.machines;
    if (job.failures.retry_at_s <= context_.now_s) add_pending_tasks(pending, job, unknown_tasks);
    if (spec.same_zone || spec.spread) add_zones(pending, job);
    return pending;
}

void SnapshotBuilder::add_pending_tasks(scheduling::PendingJob& pending, const Job& job,
                                        const std::set<model::TaskId>& unknown_tasks) const {
    if (job.is_gang())
        pending.excluded_machines.insert(job.gang_vacated_machines.begin(), job.gang_vacated_machines.end());
    if (is_aborting(job)) return;
    pending.pending_tasks = pending_tasks(job, unknown_tasks);
    if (!job.sharded && !jobs_.may_shard(*job.spec)) pending.max_placements = free_entry_capacity(job);
    if (job.is_gang() && pending.pending_tasks.size() > pending.max_placements) pending.pending_tasks.clear();
}

void SnapshotBuilder::add_zones(scheduling::PendingJob& pending, const Job& job) const {
    for (const auto& [task, placement] : job.placements) {
        const Machine* machine = machines_.find(placement.machine);
        if (machine && !machine->zone.empty())
            ++pending.tasks_by_zone[machine->zone];
        else
            pending.pending_tasks.clear();  // zone unknown: no other task may start yet
    }
}

scheduling::MachineSnapshot SnapshotBuilder::machine_snapshot(const Machine& machine,
                                                              const model::MachineType& type) const {
    scheduling::MachineSnapshot out;
    out.id = machine.id;
    out.type = machine.type;
    out.zone = machine.zone;
    out.spot = machine.spot;
    out.ready = machines_.is_schedulable(machine, context_.now_s);
    out.booting = !machine.has_reported() && !machine.is_listed_as(model::MachineStatus::failed);
    out.free = type.capacity;
    for (const auto& [job, task] : machine.tasks) {
        out.free -= job->progress.task_resources;
        if (job->spec) out.job_classes.insert(job->spec->job_class);
    }
    for (const auto& image : machine.images) out.images.push_back(image.name);
    out.busy = !machine.tasks.empty();
    out.idle_s = out.busy ? 0 : context_.now_s - machine.idle_since_s;
    out.running_tasks = static_cast<double>(machine.tasks.size());
    return out;
}

double SnapshotBuilder::age_s(const Job& job) const {
    return static_cast<double>(context_.wall_ms() - jobs_.waiting_since_ms(job)) / 1000.0;
}

// A job without an objective or deadline, or with a very distant one, gets its expected run time as slack.
double SnapshotBuilder::slack_s(const Job& job) const {
    const auto& spec = *job.spec;
    const double age = age_s(job);
    const double expected = estimates_.expected_run_s(spec);
    std::optional<double> slack;
    const auto limit = [&slack](double limit_s) { slack = std::min(slack.value_or(limit_s), limit_s); };
    // Deadlines of the job and of its dependents count from submission, not from when the job became ready.
    if (const auto due_ms = jobs_.dependencies().deadline_ms(spec))
        limit(static_cast<double>(*due_ms - context_.wall_ms()) / 1000.0 - expected);
    for (const auto& objective : context_.settings.objectives) {
        if (objective.job_class != spec.job_class || !objective.within_s) continue;
        if (objective.kind == config::ObjectiveKind::start)
            limit(*objective.within_s - age);
        else if (objective.kind == config::ObjectiveKind::finish)
            limit(*objective.within_s - age - expected);
    }
    return slack && *slack <= c::max_slack_s ? *slack : expected;
}

// The entry must fit one value of the store.
std::uint32_t SnapshotBuilder::free_entry_capacity(const Job& job) const {
    const double bytes =
        context_.settings.max_value_kb * 1024 * c::value_fill_ratio - c::progress_record_overhead_bytes;
    const double free = bytes / c::max_progress_entry_bytes - static_cast<double>(job.placements.size()) -
                        static_cast<double>(job.progress.done.iterative_size());
    return static_cast<std::uint32_t>(std::max(0.0, free));
}

}  // namespace pineroad::cluster
