/// A machine of a simulated cluster: its worker, its tasks and its injected faults.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/model.hpp"
#include "net/http.hpp"

namespace pineroad::test {

struct MachineFault {
    bool hung = false;                ///< executes nothing, but may resume at any time
    bool inbound_partition = false;   ///< heartbeats arrive; responses and direct commands are lost
    bool outbound_partition = false;  ///< reaches no controller, but receives direct commands
};

struct SimulatedTask {
    model::TaskId id;
    std::uint64_t attempt = 0;
    model::TaskState state = model::TaskState::fetching;
    model::ExitCause cause = model::ExitCause::none;
    bool checkpoint_saved = false;
    double image_fetched_at = 0, run_time_s = 0, checkpoint_complete_at = 0;

    /// Returns whether the task occupies its machine's resources: its image is fetched and it has not ended.
    [[nodiscard]] bool is_executing() const {
        return state == model::TaskState::running || state == model::TaskState::checkpointing;
    }
};

/// How a message with commands reaches a worker.
enum class CommandChannel {
    heartbeat_response,  ///< in the response to one of its heartbeats
    direct_command       ///< in a request of a controller (/do)
};

/// A message with commands that a worker has carried out and answered.
struct CommandMessage {
    CommandChannel channel = CommandChannel::direct_command;
    std::string machine;
    int controller = 0;             ///< its sender
    double heartbeat_sent_at = -1;  ///< of the heartbeat that a response answers
    std::uint64_t agent_epoch = 0;  ///< of the worker when it carried out the message
    std::string body;
    /// Returns whether it contains a command to start a task of the job.
    [[nodiscard]] bool starts_task_of(const std::string& job) const;
};

struct SimulatedMachine {
    std::string id, zone, type;
    bool spot = false;
    MachineFault fault;
    std::optional<double> interruption_notice_s;  ///< seconds until the cloud takes it away, as reported
    double provisioned_at = 0;
    std::uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
    std::vector<SimulatedTask> tasks;
    int controller = 0;  ///< to which it sends heartbeats
    double lease_renewed_at = 0, next_heartbeat_at = 0;
    double worker_started_at = 0;        ///< a response to a heartbeat of an earlier process reaches nobody
    double heartbeat_sent_at = -1;       ///< negative: no heartbeat awaits its response
    bool has_unreported_change = false;  ///< since the last heartbeat
    std::shared_ptr<std::optional<net::Response>> heartbeat_response;
    /// Direct commands received while hung: the sending controller and the request body.
    std::vector<std::pair<int, std::string>> queued_direct_commands;

    [[nodiscard]] bool has_task_of(const std::string& job) const;
    [[nodiscard]] std::size_t executing_task_count() const;
};

using SimulatedMachines = std::map<std::string, SimulatedMachine>;

/// Returns the protocol's name of a task state: "fetching", "waiting", "running", "saving" or "ended".
const char* name_of(model::TaskState state);
/// Returns JOB/INDEX.
std::string name_of(const model::TaskId& id);

}  // namespace pineroad::test
