/// Simulates the machines of a cluster. The worker on each follows the protocol: it sends heartbeats, follows
/// redirects, keeps its lease, and fetches and runs tasks. Also simulates the cloud that provides the
/// machines.
#pragma once

#include <boost/json/array.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "invariant_checker.hpp"
#include "sample_jobs.hpp"
#include "simulated_machine.hpp"
#include "wire/protocol.hpp"

namespace pineroad::test {

class ClusterSimulator;

class WorkerSimulator {
   public:
    explicit WorkerSimulator(ClusterSimulator& cluster) : cluster_(cluster) {}

    void add_machine(const std::string& id, const std::string& zone, const std::string& type, bool spot);
    /// Advances all machines by `seconds`.
    void step(double seconds);
    /// Delivers direct commands (/do) of a controller. Returns nothing if the machine is unreachable or hung;
    /// a hung machine executes them when it resumes.
    std::optional<net::Response> handle_direct_command(int controller, const std::string& machine,
                                                       const std::string& body);
    net::Response handle_cloud_request(const std::string& method, const std::string& target,
                                       const std::string& body);
    /// Delivers a copy of a message that a worker has carried out. The worker carries it out again unless the
    /// protocol tells it to drop it: a request if its token or session does not match, a response also 4 s
    /// after the heartbeat that it answers. Returns whether the worker carried it out.
    bool deliver_copy(const CommandMessage& message);
    /// Ends the worker's process and starts a new one at once, which knows no tasks and no token.
    void restart_worker(const std::string& machine);
    /// Returns the cloud's response to a request for its machine types.
    [[nodiscard]] net::Response list_machine_types() const;

    /// Returns whether a task of the job is on a machine and has not ended.
    [[nodiscard]] bool has_live_task_of(const std::string& job) const;
    [[nodiscard]] std::size_t executing_task_count() const;
    /// Returns a machine that has a task of the job in any state; throws std::logic_error if there is none.
    [[nodiscard]] SimulatedMachine& machine_with_task_of(const std::string& job);

    SimulatedMachines machines;
    /// Every message with commands that a worker has carried out, in order, without copies.
    std::vector<CommandMessage> carried_out;
    InvariantChecker invariants{machines};
    std::size_t cloud_capacity = 0;  ///< limit of machines; provisioned ones are up at once
    /// Machine types that the cloud offers; not set: it rejects the requests for them.
    std::optional<std::vector<model::MachineType>> offered_types = machine_types();
    std::map<std::string, double> task_run_s;  ///< by task (JOB/INDEX); default: default_task_run_s
    double default_task_run_s = 1000, image_fetch_s = 2, checkpoint_duration_s = 2;
    double heartbeat_period_s = 3, worker_lease_s = 36;
    /// Tasks killed, and start and stop commands executed.
    int tasks_killed_by_lease_expiry = 0, starts = 0, stops = 0;
    int starts_after_confirmed_cancellation = 0;
    /// Delay after which a duplicate of every heartbeat arrives; 0: no duplicates.
    double duplicate_heartbeats_after_s = 0;
    /// While set, heartbeats are held back in transit; they are delivered once this is reset.
    bool hold_heartbeats = false;
    /// Machines of this zone can communicate only with partitioned_zone_controller, and all others only with
    /// the other controllers. Empty: no partition.
    std::string partitioned_zone;
    int partitioned_zone_controller = -1;

   private:
    struct DelayedHeartbeat {
        double deliver_at = 0;
        int controller = 0;
        std::string body;
    };
    void step_machine(SimulatedMachine& machine, double seconds);
    void run_tasks(SimulatedMachine& machine, double seconds);
    void expire_lease(SimulatedMachine& machine);
    void deliver_delayed_heartbeats();
    void send_heartbeat(SimulatedMachine& machine);
    void receive_response(SimulatedMachine& machine);
    void apply_response(SimulatedMachine& machine, const std::string& body);
    /// Returns whether the worker carries out a copy of this heartbeat response.
    [[nodiscard]] bool accepts_response_copy(const SimulatedMachine& machine,
                                             const CommandMessage& message) const;
    /// Carries out a direct command and returns the response.
    net::Response execute_direct_command(SimulatedMachine& machine, const std::string& body);
    void follow_redirect(SimulatedMachine& machine, const net::Response& response) const;
    void execute(SimulatedMachine& machine, const wire::Json& message);
    void execute_start(SimulatedMachine& machine, const model::TaskId& id, std::uint64_t attempt);
    void execute_stop(SimulatedTask& task, double grace_s);
    [[nodiscard]] double run_time_of(const model::TaskId& task) const;
    [[nodiscard]] bool can_communicate(const SimulatedMachine& machine, int controller) const;
    [[nodiscard]] static std::string heartbeat_body(const SimulatedMachine& machine);
    [[nodiscard]] net::Response list_machines() const;
    net::Response release_machines(const wire::Json& request);
    net::Response provision_machines(const wire::Json& request);

    ClusterSimulator& cluster_;
    std::deque<DelayedHeartbeat> delayed_heartbeats_;
    std::map<std::string, boost::json::array> machines_by_request_;  // by request name
    int last_machine_number_ = 0;
};

}  // namespace pineroad::test
