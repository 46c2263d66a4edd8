// Messages between agents (workers) and the leader: heartbeats with status, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/job.hpp"

namespace pineroad::model {

// State of a task on a machine.
enum class TaskState {
    fetching,          // waits for its image to be fetched
    waiting_for_gang,  // waits for the other tasks of its gang
    running,           // runs; also while its gang is stopping or has lost a task, until it exits
    checkpointing,     // received a stop command and saves a checkpoint
    exited             // has ended, see ExitCause
};

// Why a task ended.
enum class ExitCause {
    none,                    // the task has not ended
    done,                    // completed
    stopped,                 // stopped by a command
    gang_member_lost,        // another task of its gang was lost
    gang_incomplete,         // not all tasks of its gang started in time
    error,                   // failed because of the machine or of an error in the job
    insufficient_resources,  // start rejected: not enough free resources on the machine
    already_running,         // start rejected: another attempt of the task is on the machine
    unknown_task             // start rejected: no such job or task
};

// One task in a heartbeat.
struct ReportedTask {
    TaskId task;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    ExitCause cause = ExitCause::none;
    bool checkpoint_saved = false;  // the task was stopped and saved a checkpoint
};

// A heartbeat with status: everything that the agent of a machine reports.
struct Heartbeat {
    // Name of the machine, address of its agent ("host:port"), machine type, zone.
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;  // increases each time the agent's lease expires, which ends all its tasks
    std::uint64_t sequence = 0;     // increases with every heartbeat of an epoch: orders heartbeats
    std::uint64_t fencing_token = 0;              // the highest that the agent has seen
    std::optional<double> interruption_notice_s;  // time until the cloud reclaims the machine, if announced
    std::vector<ReportedTask> tasks;  // all tasks on the machine; exited ones until a forget command
};

// A command to an agent, in a heartbeat response or sent directly. Commands are idempotent, except that a
// start after a forget of the same attempt starts the task again.
struct Command {
    // What the agent must do with the task.
    enum class Kind {
        start,  // start the task; no effect if the agent already has this attempt
        stop,   // stop the task, and save a checkpoint if the grace period suffices
        forget  // omit the exited task from further heartbeats
    } kind = Kind::start;
    TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0;  // for a stop: time to save a checkpoint; 0: end the task immediately
};

}  // namespace pineroad::model
