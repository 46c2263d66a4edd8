/// A machine of a simulated cluster: its worker, the tasks on it, and what may be wrong with it.
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
    bool hung = false;                ///< executes nothing, and may go on at any moment
    bool inbound_partition = false;   ///< heartbeats arrive; answers and direct commands are lost
    bool outbound_partition = false;  ///< reaches no controller, while direct commands reach it
};

struct SimulatedTask {
    model::TaskId id;
    std::uint64_t attempt = 0;
    model::TaskState state = model::TaskState::fetching;
    model::ExitCause cause = model::ExitCause::none;
    bool checkpoint_saved = false;
    double image_fetched_at = 0, run_time_s = 0, checkpoint_complete_at = 0;

    /// It occupies its machine's resources: it has its image and has not ended.
    [[nodiscard]] bool is_executing() const {
        return state == model::TaskState::running || state == model::TaskState::checkpointing;
    }
};

struct SimulatedMachine {
    std::string id, zone, type;
    bool spot = false;
    MachineFault fault;
    double provisioned_at = 0;
    std::uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
    std::vector<SimulatedTask> tasks;
    int controller = 0;  ///< that its heartbeats go to
    double lease_renewed_at = 0, next_heartbeat_at = 0;
    double heartbeat_sent_at = -1;       ///< of the heartbeat that waits for its answer; negative: none does
    bool has_unreported_change = false;  ///< since the last heartbeat
    std::shared_ptr<std::optional<net::Reply>> heartbeat_response;
    std::vector<std::pair<int, std::string>> queued_direct_commands;  ///< direct ones, while it hangs

    [[nodiscard]] bool has_task_of(const std::string& job) const;
    [[nodiscard]] std::size_t executing_task_count() const;
};

using SimulatedMachines = std::map<std::string, SimulatedMachine>;

/// "fetching", "waiting", "running", "saving" or "ended", as the protocol writes it.
const char* name_of(model::TaskState state);
/// JOB/INDEX
std::string name_of(const model::TaskId& id);

}  // namespace pineroad::test
