// The exchange between agents (workers) and the leader: heartbeats with status, and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/job.hpp"

namespace pineroad::model {

// What a task on a machine is doing.
enum class TaskState {
    fetching,          // waits for its image
    waiting_for_gang,  // waits for the other tasks of its attempt
    running,           // runs; also while its gang is being stopped or lost a task, until it exits
    checkpointing,     // was told to stop and saves a checkpoint
    exited             // ended, see ExitCause
};

// Why a task ended.
enum class ExitCause {
    none,                    // it has not ended
    done,                    // completed
    stopped,                 // by command
    gang_member_lost,        // another task of its gang is gone
    gang_incomplete,         // its gang was not complete in time
    error,                   // failed: through the machine, or through a mistake in the job
    insufficient_resources,  // start refused: not enough free resources on the machine
    already_running,         // start refused: the task is there under another attempt
    unknown_task             // start refused: no such job or task
};

// One task in a heartbeat.
struct ReportedTask {
    TaskId task;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    ExitCause cause = ExitCause::none;
    bool checkpoint_saved = false;  // stopped, and its progress was saved in a checkpoint
};

// A heartbeat with status: everything a machine's agent reports of itself.
struct Heartbeat {
    // Name of the machine, address of its agent ("host:port"), machine type, zone.
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;    // grows each time the agent's lease expires, and its tasks with it
    std::uint64_t sequence = 0;       // grows with every heartbeat of an epoch: the larger is the newer one
    std::uint64_t fencing_token = 0;  // the highest the agent has seen
    std::optional<double>
        interruption_notice_s;        // until the cloud takes the machine away; nothing: no notice
    std::vector<ReportedTask> tasks;  // all on the machine, exited ones until they are forgotten
};

// A command to an agent, in the answer to a heartbeat or sent directly. Each may be repeated, but a start
// after a forget of the same attempt starts it once more.
struct Command {
    // What the agent is to do with the task.
    enum class Kind {
        start,  // start the task; nothing happens where the agent has this attempt already
        stop,   // stop the task, and save a checkpoint if the grace suffices for it
        forget  // leave the exited task out of heartbeats from now on
    } kind = Kind::start;
    TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0;  // for a stop: time to save in; 0: end at once
};

}  // namespace pineroad::model
