// What workers are commanded: in answers to their heartbeats, and directly.
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

// Commands to one worker, to be sent at once. Only stops: a start may be executed only while the leader's
// lease lasts, and this message may arrive minutes late.
struct DirectCommands {
    std::string address, machine;
    std::uint64_t agent_epoch = 0;
    std::vector<model::Command> commands;
};

// Derives commands from the placements. Starts wait until their placement is durable.
class CommandDelivery {
   public:
    // All arguments must outlive this object.
    CommandDelivery(JobTable& jobs, MachineTable& machines, StopRequests& stop_requests)
        : jobs_(jobs), machines_(machines), stop_requests_(stop_requests) {}

    // Whether every start for the machine is durable already. True for unknown machines.
    [[nodiscard]] bool placements_durable(const std::string& machine) const;
    // Whether the machine can be sent a command that it does not have yet: a durable start, or a stop.
    [[nodiscard]] bool has_pending_commands(const std::string& machine) const;
    // The commands of an answer to the machine's latest heartbeat; starts only if the leader may start tasks.
    // What it returns counts as sent.
    std::vector<model::Command> commands_for(const std::string& machine, bool may_start, double now);
    // Stops that were not sent directly yet, by machine. They count as sent.
    std::vector<DirectCommands> take_direct_commands();

   private:
    // The answer to a worker that has not shown this term's token yet.
    [[nodiscard]] std::vector<model::Command> stops_of_cancelled_jobs(const Machine& machine) const;
    // Exited tasks that the worker may forget. False: no more commands fit.
    bool add_forgets(Machine& machine, std::vector<model::Command>& commands) const;
    // Starts that are durable, and stops.
    void add_starts_and_stops(Machine& machine, bool may_start, std::vector<model::Command>& commands) const;
    // The placement to be stopped, or nullptr if that is settled already.
    [[nodiscard]] TaskPlacement* find_unsent_stop(const UnsentStop& stop);

    JobTable& jobs_;
    MachineTable& machines_;
    StopRequests& stop_requests_;
};

}  // namespace pineroad::cluster
