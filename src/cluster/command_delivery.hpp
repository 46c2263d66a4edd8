// Commands to workers, in heartbeat responses and as direct commands.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/stop_requests.hpp"
#include "cluster/term_context.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Commands to one worker, sent immediately. Only stops are sent this way: a start may be executed only while
// the leader's lease lasts, and a direct command may arrive minutes late.
struct DirectCommands {
    std::string address, machine;
    std::uint64_t agent_epoch = 0;
    std::vector<model::Command> commands;
};

// Derives commands from the placements. A start is sent only once its placement is durable.
class CommandDelivery {
   public:
    // All arguments must outlive this object.
    CommandDelivery(JobTable& jobs, MachineTable& machines, StopRequests& stop_requests)
        : jobs_(jobs), machines_(machines), stop_requests_(stop_requests) {}

    // Returns whether the placement of every task to be started on the machine is durable. True for unknown
    // machines.
    [[nodiscard]] bool placements_durable(const std::string& machine) const;
    // Returns whether there is a command to send to the machine: a stop, or a start whose placement is
    // durable.
    [[nodiscard]] bool has_pending_commands(const std::string& machine) const;
    // Returns the commands for the response to the machine's latest heartbeat; includes starts only if
    // `may_start_tasks`. Marks the returned starts and forget commands as sent.
    std::vector<model::Command> commands_for(const std::string& machine, bool may_start_tasks, double now);
    // Returns the stops not yet sent as direct commands, grouped by machine, and marks them as sent.
    std::vector<DirectCommands> take_direct_commands();

   private:
    // Returns the commands for a worker whose heartbeat does not carry this term's token: only stops of tasks
    // that must not run.
    [[nodiscard]] std::vector<model::Command> stops_of_cancelled_jobs(const Machine& machine) const;
    // Adds commands to forget exited tasks. Returns false if no more commands fit.
    bool add_forget_commands(Machine& machine, std::vector<model::Command>& commands) const;
    // Adds stops and, if `may_start_tasks`, the starts whose placements are durable. Records each start as
    // recent.
    void add_starts_and_stops(Machine& machine, bool may_start_tasks, double now,
                              std::vector<model::Command>& commands) const;
    // Returns the placement to stop, or nullptr if no direct command is needed any more.
    [[nodiscard]] TaskPlacement* find_unsent_stop(const UnsentStop& stop);

    JobTable& jobs_;
    MachineTable& machines_;
    StopRequests& stop_requests_;
};

}  // namespace pineroad::cluster
