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

// Which fencing token the worker of a machine has shown in this term.
enum class WorkerContact {
    none,           // no heartbeat yet
    older_token,    // its latest heartbeat carried the fencing token of an earlier term
    current_token,  // its latest heartbeat carried this term's token: it rejects commands of earlier terms
};

// Notice that the cloud will interrupt a spot machine.
struct InterruptionNotice {
    double remaining_s = 0;  // as of the latest heartbeat
    double reported_at_s = 0;
};

// A task that is placed on a machine. The job outlives its placements.
struct PlacedTask {
    Job* job = nullptr;
    std::uint32_t index = 0;
    bool operator==(const PlacedTask&) const = default;
    // Returns the placement of this task.
    [[nodiscard]] TaskPlacement& placement() const { return job->placements.at(index); }
};

// A task that ended, which the worker reports until it receives the command to forget it.
struct ExitedTask {
    model::TaskId task;
    std::uint64_t attempt = 0;
    std::uint64_t version = 0;  // of the job with this exit; must be durable before the worker may forget it
};

// A command to forget an exited task, sent with the latest response.
struct SentForgetCommand {
    model::TaskId task;
    std::uint64_t attempt = 0;
    bool operator==(const SentForgetCommand&) const = default;
};

// A start sent with a heartbeat response that the worker may still accept. If the worker forgot the attempt
// meanwhile, a copy of that response would start it again.
struct RecentStart {
    model::TaskId task;
    std::uint64_t attempt = 0;
    double acceptable_until_s = 0;  // the worker drops the response from then on
};

// An image that the machine has cached or is fetching, as inferred from its placements.
struct CachedImage {
    std::string name;
    double size_gb = 0;
};

// Counts consecutive heartbeats that ignore commands: responses to the machine are lost although its
// heartbeats arrive.
struct UnacknowledgedCommands {
    int heartbeats = 0;
    double latest_at_s = 0;
    // Records a heartbeat that ignored the commands of the latest response.
    void record_ignored(double now) {
        ++heartbeats;
        latest_at_s = now;
    }
    // Resets the count because responses reach the machine.
    void reset() { heartbeats = 0; }
    // Returns whether an inbound partition is assumed, in which no response reaches the machine.
    [[nodiscard]] bool is_partitioned() const {
        return heartbeats >= constants::max_unacknowledged_heartbeats;
    }
};

// State of a machine, from its provisioning, listing or first heartbeat until its release is confirmed.
struct Machine {
    std::string id, type, zone, address;
    bool spot = false;

    // Heartbeats: written by the HeartbeatReconciler.
    WorkerContact contact = WorkerContact::none;
    std::uint64_t agent_epoch = 0, sequence = 0;
    double last_heartbeat_s = 0;
    std::optional<InterruptionNotice> interruption_notice;
    std::optional<double> older_token_since_s;       // since when heartbeats lack this term's token
    std::vector<ExitedTask> exited_tasks;            // the worker may forget them once their exit is durable
    std::vector<model::ReportedTask> unknown_tasks;  // reported without a placement
    // Tasks that it reported before its heartbeats carried this term's token.
    std::vector<model::ReportedTask> tasks_under_older_token;

    // Command delivery: sent by CommandDelivery, acknowledged in the HeartbeatReconciler, evaluated by the
    // FailureDetector.
    UnacknowledgedCommands unacknowledged;
    std::vector<SentForgetCommand> sent_forget_commands;
    std::vector<RecentStart> recent_starts;

    // Cloud state: written by the MachineLifecycle, except `releasing`, which only the FailureDetector
    // writes.
    double provisioned_at_s = 0;
    std::optional<model::MachineStatus> listed_status;  // in the latest listing; not set: never listed
    std::optional<double> unlisted_since_s;             // since when the list has lacked it
    bool releasing = false;

    // Tasks and their failures: written by the TaskLifecycle.
    std::vector<PlacedTask> tasks;  // placed on it, in the order of the decisions
    bool quarantined = false;
    std::set<std::string> failed_jobs;  // jobs whose tasks failed here since a task last succeeded
    int consecutive_failures = 0;

    // Usage: written by the MachineTable and the Planner, `idle_since_s` also by the HeartbeatReconciler.
    double idle_since_s = 0;
    std::deque<CachedImage> images;  // most recently used last

    // Returns whether a heartbeat arrived in this term.
    [[nodiscard]] bool has_reported() const { return contact != WorkerContact::none; }
    // Returns whether its latest heartbeat carried this term's token.
    [[nodiscard]] bool token_confirmed() const { return contact == WorkerContact::current_token; }
    // Returns whether its latest listing has this status.
    [[nodiscard]] bool is_listed_as(model::MachineStatus status) const { return listed_status == status; }
};

}  // namespace pineroad::cluster
