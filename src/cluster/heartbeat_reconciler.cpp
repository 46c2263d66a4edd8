#include "cluster/heartbeat_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "cluster/job_shards.hpp"

namespace pineroad::cluster {

using model::TaskState;

bool HeartbeatReconciler::apply(const model::Heartbeat& heartbeat) {
    // A released machine is proven to run nothing; this heartbeat was delayed in transit.
    if (machines_.released().contains(heartbeat.machine)) return false;
    Machine& machine = machines_.find_or_add(heartbeat.machine);
    if (machine.has_reported() && std::pair(heartbeat.agent_epoch, heartbeat.sequence) <=
                                      std::pair(machine.agent_epoch, machine.sequence))
        return false;
    update_identity(machine, heartbeat);
    // A missing task proves nothing unless the worker already rejects commands from earlier terms.
    if (heartbeat.fencing_token != context_.fencing_token) {
        machine.contact = WorkerContact::older_token;
        if (!machine.older_token_since_s) machine.older_token_since_s = context_.now_s;
        machine.tasks_under_older_token = heartbeat.tasks;
        return true;
    }
    machine.contact = WorkerContact::current_token;
    machine.older_token_since_s.reset();
    apply_tasks(machine, heartbeat);
    if (!machine.unknown_tasks.empty() || !machine.tasks.empty()) machine.idle_since_s = context_.now_s;
    if (machine.interruption_notice) checkpoint_before_interruption(machine);
    return true;
}

void HeartbeatReconciler::update_identity(Machine& machine, const model::Heartbeat& heartbeat) {
    if (!machine.has_reported()) {
        spdlog::info("machine {} ({} in {}{}) reports, agent epoch {} (term {})", heartbeat.machine,
                     heartbeat.type, heartbeat.zone, heartbeat.spot ? ", spot" : "", heartbeat.agent_epoch,
                     context_.fencing_token);
        machine.idle_since_s = context_.now_s;
    }
    // Inbound partition: heartbeats arrive, but responses do not reach the machine. Its tasks ended when its
    // lease expired; if kept, it would send heartbeats forever without running anything.
    if (machine.unacknowledged.is_partitioned() && heartbeat.agent_epoch > machine.agent_epoch &&
        failure_detector_.commands_reach_most_machines())
        failure_detector_.release(machine, ReleaseReason::receives_no_commands);
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    machine.address = heartbeat.address;
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.sequence = heartbeat.sequence;
    machine.last_heartbeat_s = last_heartbeat_s_ = context_.now_s;
    if (!heartbeat.interruption_notice_s) {
        machine.interruption_notice.reset();
        return;
    }
    if (!machine.interruption_notice)
        spdlog::info("machine {} will be interrupted in {:.1f} s", machine.id,
                     *heartbeat.interruption_notice_s);
    machine.interruption_notice = InterruptionNotice{*heartbeat.interruption_notice_s, context_.now_s};
}

void HeartbeatReconciler::apply_tasks(Machine& machine, const model::Heartbeat& heartbeat) {
    machine.unknown_tasks.clear();
    machine.exited_tasks.clear();
    CommandAcknowledgement acknowledgement;
    std::vector<PlacedTask> reported;
    for (const auto& task : heartbeat.tasks)
        if (Job* job = apply_task(machine, task, acknowledgement)) reported.push_back({job, task.task.index});
    handle_missing_placements(machine, reported, acknowledgement);
    acknowledgement.acknowledged |= !machine.sent_forget_commands.empty() && !acknowledgement.ignored;
    machine.sent_forget_commands.clear();
    record_acknowledgement(machine, acknowledgement);
}

Job* HeartbeatReconciler::apply_task(Machine& machine, const model::ReportedTask& task,
                                     CommandAcknowledgement& acknowledgement) {
    Job* job = jobs_.find(task.task.job);
    TaskPlacement* placement = nullptr;
    if (job) {
        const auto found = job->placements.find(task.task.index);
        if (found != job->placements.end() && found->second.attempt == task.attempt &&
            found->second.machine == machine.id)
            placement = &found->second;
    }
    if (task.state == TaskState::exited) {
        const bool is_placed_here = placement != nullptr;
        apply_exit(machine, job, is_placed_here, task, acknowledgement);
        return is_placed_here ? job : nullptr;
    }
    if (!placement) {
        machine.unknown_tasks.push_back(task);
        return nullptr;
    }
    acknowledgement.acknowledged |= placement->confirm();
    if (task.state == TaskState::running && placement->state != TaskState::running) {
        placement->running_since_s = context_.now_s;
        job->gang_has_run = true;
        spdlog::debug("task {}/{} attempt {} runs on {} (term {})", task.task.job, task.task.index,
                      task.attempt, machine.id, context_.fencing_token);
    }
    placement->state = task.state;
    return job;
}

// The worker reports an exited task until it receives the command to forget it.
void HeartbeatReconciler::apply_exit(Machine& machine, Job* job, bool is_placed_here,
                                     const model::ReportedTask& task,
                                     CommandAcknowledgement& acknowledgement) {
    const SentForgetCommand forget{task.task, task.attempt};
    acknowledgement.ignored |=
        std::find(machine.sent_forget_commands.begin(), machine.sent_forget_commands.end(), forget) !=
        machine.sent_forget_commands.end();
    if (is_placed_here)
        task_lifecycle_.handle_exit(*job, task, machine);
    else if (job)
        task_lifecycle_.record_unplaced_completion(*job, task);
    machine.exited_tasks.push_back(
        {task.task, task.attempt, job ? version_of_task(*job, task.task.index) : 0});
}

void HeartbeatReconciler::handle_missing_placements(Machine& machine, const std::vector<PlacedTask>& reported,
                                                    CommandAcknowledgement& acknowledgement) {
    for (const auto& task : std::vector(machine.tasks)) {
        if (std::find(reported.begin(), reported.end(), task) != reported.end()) continue;
        TaskPlacement& placement = task.placement();
        switch (placement.presence) {
            case Presence::planned:
                break;
            case Presence::inherited:
            case Presence::confirmed:
                task_lifecycle_.mark_lost(*task.job, task.index, LossReason::not_on_machine);
                break;
            case Presence::start_sent:
                acknowledgement.ignored = true;
                placement.mark_start_dropped();
                if (placement.is_stopping() || task.job->is_cancelled() ||
                    machine.unacknowledged.heartbeats > 0)
                    task_lifecycle_.mark_lost(*task.job, task.index, LossReason::start_never_arrived);
                break;
        }
    }
}

// A heartbeat that ignores the last commands shows that the last response did not reach the machine. A single
// one can be a lost packet; repeated ones mean that nothing reaches it, and tasks placed on it are delayed by
// a lease.
void HeartbeatReconciler::record_acknowledgement(Machine& machine,
                                                 const CommandAcknowledgement& acknowledgement) {
    if (!acknowledgement.ignored) {
        if (acknowledgement.acknowledged) machine.unacknowledged.reset();
        return;
    }
    machine.unacknowledged.record_ignored(context_.now_s);
    spdlog::info("machine {} reports but did not get its last commands, {} times now (term {})", machine.id,
                 machine.unacknowledged.heartbeats, context_.fencing_token);
}

// Tasks that can save a checkpoint in time are stopped now; the others run until the machine is interrupted.
void HeartbeatReconciler::checkpoint_before_interruption(Machine& machine) {
    for (const auto& task : machine.tasks) {
        Job& job = *task.job;
        if (!job.spec || job.is_cancelled() || job.spec->checkpoint_interval_s <= 0 ||
            machine.interruption_notice->remaining_s < job.spec->checkpoint_save_s)
            continue;
        TaskPlacement& placement = task.placement();
        if (placement.state != TaskState::running || !placement.is_confirmed()) continue;
        if (job.is_gang())
            stop_requests_.request_all(job, job.spec->checkpoint_save_s + 1);
        else
            stop_requests_.request(job, placement, job.spec->checkpoint_save_s + 1);
    }
}

}  // namespace pineroad::cluster
