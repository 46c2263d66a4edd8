#include "cluster/task_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
using model::ExitCause;

namespace {
const char* describe(ExitCause cause) {
    switch (cause) {
        case ExitCause::done:
            return "done";
        case ExitCause::stopped:
            return "stopped";
        case ExitCause::gang_member_lost:
            return "gang member lost";
        case ExitCause::gang_incomplete:
            return "gang incomplete";
        case ExitCause::error:
            return "error";
        case ExitCause::insufficient_resources:
            return "insufficient resources";
        case ExitCause::already_running:
            return "already running";
        case ExitCause::unknown_task:
            return "unknown task";
        case ExitCause::none:
            break;
    }
    return "no cause given";
}

const char* describe(LossReason reason) {
    switch (reason) {
        case LossReason::not_on_machine:
            return "no longer on its machine";
        case LossReason::start_never_arrived:
            return "its start never arrived";
        case LossReason::machine_released:
            return "its machine is released";
        case LossReason::withdrawn:
            return "withdrawn before its start was sent";
    }
    return "";
}

// Returns the delay before the job is retried after this many failures.
double retry_backoff_s(int failures) {
    return std::min(c::task_retry_backoff_s * std::pow(2.0, std::min(failures - 1, 10)),
                    c::task_retry_backoff_max_s);
}
}  // namespace

void TaskLifecycle::cancel_job(const std::string& id) {
    Job* job = jobs_.find(id);
    if (!job || job->is_finished()) return;
    job->phase = JobPhase::cancelled;
    // Placements whose start was not sent are removed, since nothing can run under them.
    for (auto next = job->placements.begin(); next != job->placements.end();) {
        const auto placement = next++;
        if (placement->second.is_unsent()) remove_placement(*job, placement);
    }
    stop_requests_.request_all(*job, 0);
    jobs_.mark_changed(*job);
    pending_changes_.request_commit();
    spdlog::info("job {} cancelled, {} tasks to stop (term {})", id, job->placements.size(),
                 context_.fencing_token);
}

void TaskLifecycle::cancel_job_by_dependency(const std::string& id) {
    Job* job = jobs_.find(id);
    if (!job || job->is_finished() || job->phase == JobPhase::cancelled_by_dependency) return;
    job->phase = JobPhase::cancelled_by_dependency;
    jobs_.mark_changed(*job);
    spdlog::info("job {} cancelled with a job that it depends on (term {})", id, context_.fencing_token);
}

void TaskLifecycle::place(Job& job, TaskPlacement placement) {
    const auto task = placement.index;
    machines_.find_or_add(placement.machine).tasks.push_back({&job, task});
    job.placements[task] = std::move(placement);
}

TaskPlacement TaskLifecycle::remove_placement(Job& job, Placements::iterator placement) {
    TaskPlacement removed = std::move(placement->second);
    job.placements.erase(placement);
    if (Machine* machine = machines_.find(removed.machine))
        std::erase(machine->tasks, PlacedTask{&job, removed.index});
    return removed;
}

void TaskLifecycle::handle_exit(Job& job, const model::ReportedTask& task, Machine& machine) {
    const TaskPlacement placement = remove_placement(job, job.placements.find(task.task.index));
    spdlog::debug("task {}/{} attempt {} exited on {}: {}{} (term {})", job.id, placement.index,
                  placement.attempt, machine.id, describe(task.cause), task.checkpoint_saved ? ", saved" : "",
                  context_.fencing_token);
    jobs_.mark_changed(job, placement.index);
    if (!job.spec || job.is_cancelled()) return;
    if (task.cause == ExitCause::done)
        handle_success(job, placement, machine);
    else
        handle_failure(job, placement, task, machine);
}

void TaskLifecycle::handle_success(Job& job, const TaskPlacement& placement, Machine& machine) {
    machine.consecutive_failures = 0;
    machine.failed_jobs.clear();
    // The run time of a task that resumed from a checkpoint says nothing about that of a whole task.
    if (placement.running_since_s && job.progress.checkpointed_run_s <= 0 && job.spec->estimate_s > 0)
        estimates_.record(*job.spec, context_.now_s - *placement.running_since_s);
    // A gang completes as a whole: once one task is done, all are.
    if (job.is_gang())
        job.progress.done +=
            boost::icl::discrete_interval<std::uint32_t>::right_open(0, job.spec->task_count);
    else
        job.progress.done += placement.index;
    if (job.complete_if_all_tasks_done()) pending_changes_.request_commit();
}

void TaskLifecycle::handle_failure(Job& job, const TaskPlacement& placement, const model::ReportedTask& task,
                                   Machine& machine) {
    const double now = context_.now_s;
    if (task.cause == ExitCause::stopped && task.checkpoint_saved && placement.running_since_s)
        job.progress.checkpointed_run_s += now - *placement.running_since_s;
    if (task.cause == ExitCause::error) record_failure(job, machine);
    if (task.cause == ExitCause::insufficient_resources || task.cause == ExitCause::already_running ||
        task.cause == ExitCause::unknown_task)
        job.failures.retry_at_s = std::max(job.failures.retry_at_s, now + 1);
    job.gang_vacated_machines.insert(machine.id);
    update_gang_after_loss(job);
}

void TaskLifecycle::record_unplaced_completion(Job& job, const model::ReportedTask& task) {
    if (!job.spec || job.is_cancelled() || job.all_tasks_done() || task.cause != ExitCause::done ||
        task.task.index >= job.spec->task_count || boost::icl::contains(job.progress.done, task.task.index))
        return;
    job.progress.done += task.task.index;
    job.complete_if_all_tasks_done();
    jobs_.mark_changed(job, task.task.index);
}

void TaskLifecycle::mark_lost(Job& job, std::uint32_t task, LossReason reason) {
    const TaskPlacement placement = remove_placement(job, job.placements.find(task));
    spdlog::info("task {}/{} attempt {} on {} lost: {} (term {})", job.id, placement.index, placement.attempt,
                 placement.machine, describe(reason), context_.fencing_token);
    job.gang_vacated_machines.insert(placement.machine);
    jobs_.mark_changed(job, placement.index);
    update_gang_after_loss(job);
}

void TaskLifecycle::update_gang_after_loss(Job& job) {
    if (!job.is_gang()) return;
    if (job.placements.empty()) {
        job.end_gang_attempt(context_.now_s);
    } else if (job.gang_has_run) {
        // The other members would notice the loss within gang_failure_detection_s; a stop is faster.
        const bool saving = std::any_of(job.placements.begin(), job.placements.end(),
                                        [](const auto& entry) { return entry.second.is_saving(); });
        if (!saving) stop_requests_.request_all(job, 0);
    }
    // A gang that has not run yet keeps its attempt and waits for a replacement.
}

// An error is attributed to the job if the job failed on several machines and none of its tasks is done, and
// otherwise to the machine. The machine is quarantined if several jobs failed on it, or if several tasks in a
// row failed on it and the last one belongs to a job that has done tasks.
void TaskLifecycle::record_failure(Job& job, Machine& machine) {
    ++job.failures.count;
    job.failures.machines.insert(machine.id);
    const bool job_at_fault = job.progress.done.empty() && static_cast<int>(job.failures.machines.size()) >=
                                                               c::max_failed_machines_per_job;
    if (job_at_fault) {
        job.failures.retry_at_s = context_.now_s + retry_backoff_s(job.failures.count);
        machines_.remove_from_failed_jobs(job.id);
        return;
    }
    ++machine.consecutive_failures;
    machine.failed_jobs.insert(job.id);
    const bool several_jobs_failed =
        static_cast<int>(machine.failed_jobs.size()) >= c::max_consecutive_machine_failures;
    const bool progressing_job_failed =
        machine.consecutive_failures >= c::max_consecutive_machine_failures && !job.progress.done.empty();
    if (several_jobs_failed || progressing_job_failed) quarantine(machine);
}

// The stopped tasks are placed on other machines, and the machine is released.
void TaskLifecycle::quarantine(Machine& machine) {
    if (!machine.quarantined)
        spdlog::info("machine {} quarantined: the tasks that it runs fail (term {})", machine.id,
                     context_.fencing_token);
    machine.quarantined = true;
    for (const auto& task : machine.tasks) {
        const auto& spec = task.job->spec;
        const bool can_save = spec && spec->checkpoint_interval_s > 0;
        stop_requests_.request(*task.job, task.placement(), can_save ? spec->checkpoint_save_s + 1 : 0);
    }
}

}  // namespace pineroad::cluster
