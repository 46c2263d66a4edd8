// A machine as the leader knows it: what its worker reported, what the cloud lists, and what is placed on it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/job.hpp"
#include "config/constants.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// What the worker of a machine has shown in this term.
enum class WorkerContact {
    none,           // no heartbeat
    older_token,    // its latest heartbeat carried the fencing token of an earlier term
    current_token,  // its latest heartbeat carried this term's token: it refuses commands of earlier terms
};

// The cloud will interrupt a spot machine.
struct InterruptionNotice {
    double remaining_s = 0;  // at the latest heartbeat
    double reported_at_s = 0;
};

// A task that is placed on a machine. The job outlives its placements.
struct PlacedTask {
    Job* job = nullptr;
    std::uint32_t index = 0;
    bool operator==(const PlacedTask&) const = default;
    // The placement of this task.
    [[nodiscard]] TaskPlacement& placement() const { return job->placements.at(index); }
};

// A task that ended and that the worker reports until it gets the command to forget it.
struct ExitedTask {
    model::TaskId task;
    std::uint64_t attempt = 0;
    std::uint64_t version = 0;  // of the job with this exit: it must be durable before the worker may forget
};

// A command to forget an exited task, given by the last answer.
struct SentForget {
    model::TaskId task;
    std::uint64_t attempt = 0;
    bool operator==(const SentForget&) const = default;
};

// An image that the machine holds or fetches, as far as its placements tell.
struct CachedImage {
    std::string name;
    double size_gb = 0;
};

// Heartbeats in a row that ignore commands: answers to the machine are lost, while its heartbeats arrive.
struct UnacknowledgedCommands {
    int heartbeats = 0;
    double latest_at_s = 0;
    // A heartbeat ignored the commands of the last answer.
    void record_ignored(double now) {
        ++heartbeats;
        latest_at_s = now;
    }
    // Answers reach the machine.
    void reset() { heartbeats = 0; }
    // A one-way partition is assumed: nothing reaches the machine.
    [[nodiscard]] bool is_partitioned() const {
        return heartbeats >= constants::max_unacknowledged_heartbeats;
    }
};

// A machine from its provisioning, listing or first heartbeat until its release was answered.
struct Machine {
    std::string id, type, zone, address;
    bool spot = false;

    // Heartbeats: written by the HeartbeatReconciler.
    WorkerContact contact = WorkerContact::none;
    std::uint64_t agent_epoch = 0, sequence = 0;
    double last_heartbeat_s = 0;
    std::optional<InterruptionNotice> interruption_notice;
    std::optional<double> older_token_since_s;       // heartbeats without this term's token
    std::vector<ExitedTask> exited_tasks;            // the worker may forget them once their exit is durable
    std::vector<model::ReportedTask> unknown_tasks;  // tasks that no placement names
    // What it ran when it did not show this term's token yet.
    std::vector<model::ReportedTask> tasks_under_older_token;

    // Delivery of commands: sent by CommandDelivery, acknowledged in the HeartbeatReconciler, judged by the
    // FailureDetector.
    UnacknowledgedCommands unacknowledged;
    std::vector<SentForget> sent_forgets;

    // The cloud: written by the MachineLifecycle; `releasing` by the FailureDetector alone.
    double provisioned_at_s = 0;
    std::optional<model::MachineStatus> listed_status;  // of its latest listing; nothing: never listed
    std::optional<double> unlisted_since_s;             // was listed, and is no longer
    bool releasing = false;

    // Tasks and their failures: written by the TaskLifecycle.
    std::vector<PlacedTask> tasks;  // the placements that name it, in the order of their decision
    bool quarantined = false;
    std::set<std::string> failed_jobs;  // jobs whose tasks failed here since a task last succeeded
    int consecutive_failures = 0;

    // Use: written by the MachineTable and the Planner, `idle_since_s` also by the HeartbeatReconciler.
    double idle_since_s = 0;
    std::deque<CachedImage> images;  // latest last

    // A heartbeat arrived in this term.
    [[nodiscard]] bool has_reported() const { return contact != WorkerContact::none; }
    // Its latest heartbeat carried this term's token.
    [[nodiscard]] bool token_confirmed() const { return contact == WorkerContact::current_token; }
    // Its latest listing has this status.
    [[nodiscard]] bool is_listed_as(model::MachineStatus status) const { return listed_status == status; }
};

}  // namespace pineroad::cluster
