// The leader's in-memory cluster state for one term: desired state, observed state, and which of it is
// durable. It does no I/O and reads no clock: heartbeats, events, commits and cloud responses are passed in
// with a time; commands, transactions and requests are returned.
//
// Each component owns its fields; this facade passes on the time and delegates:
//
//   JobTable, MachineTable     jobs with their placements; machines, machine types and released machines
//   TaskLifecycle              the only component that changes placements: task placed, exited, lost
//   HeartbeatReconciler        applies heartbeats
//   CommandDelivery            commands to workers, with StopRequests
//   FailureDetector            decides which machines are lost
//   MachineLifecycle           cloud responses about machines, with ProvisioningRequests
//   DurableWrites              batches and commits, with SegmentStore, PendingChanges and WriteBatchBuilder
//   StateLoader                loads the records of earlier terms
//   Planner, SnapshotBuilder   apply scheduling decisions, with RunTimeEstimates and SlowdownAverages
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/command_delivery.hpp"
#include "cluster/durable_writes.hpp"
#include "cluster/failure_detector.hpp"
#include "cluster/heartbeat_reconciler.hpp"
#include "cluster/job_table.hpp"
#include "cluster/machine_lifecycle.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/pending_changes.hpp"
#include "cluster/planner.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/segment_store.hpp"
#include "cluster/snapshot_builder.hpp"
#include "cluster/stop_requests.hpp"
#include "cluster/task_lifecycle.hpp"
#include "cluster/term_context.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "model/model.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

// The cluster state of one term. Times are seconds on the process's steady clock. Times of day are in
// milliseconds and have names that end in `_ms`.
class ClusterState {
   public:
    // Creates the state of the term with this fencing token; `leader_revision` is the mod revision of its
    // leader record. The settings and tuning must outlive the state.
    ClusterState(const config::Settings& settings, const config::Tuning& tuning, std::uint64_t fencing_token,
                 std::uint64_t leader_revision, double now);

    // --- failover ---
    // Loads the records, to which no earlier term can add any more. The watch cache must outlive the state,
    // since it holds the dependencies between jobs.
    void load(const store::WatchCache& watch_cache, double now, std::int64_t wall_ms = 0);

    // --- events of the store ---
    // Adds an accepted job; its record has this mod revision.
    void job_added(const model::JobSpec& spec, std::uint64_t mod_revision, double now);
    // Records that a user cancelled the job.
    void job_cancelled(const std::string& id, double now);
    // Records that a job that this one depends on was cancelled. None of this job's tasks was placed, and its
    // own final record must be written.
    void job_cancelled_by_dependency(const std::string& id, double now);
    // Allows large jobs to be written in shards, once every controller reads that format.
    void allow_sharding();

    // --- workers ---
    // Applies a heartbeat. Returns false without changing anything if it is stale or from a released machine.
    bool apply_heartbeat(const model::Heartbeat& heartbeat, double now);
    // Returns whether the placement of every task to be started on the machine is durable. True for unknown
    // machines.
    [[nodiscard]] bool placements_durable(const std::string& machine) const;
    // Returns whether the machine could run the smallest recently submitted task. If so, the response to its
    // heartbeat may be held briefly for a placement.
    [[nodiscard]] bool has_free_capacity(const std::string& machine, double now) const;
    // Returns whether there is a command to send to the machine: a stop, or a start whose placement is
    // durable.
    [[nodiscard]] bool has_pending_commands(const std::string& machine) const;
    // Returns the commands for the response to the machine's latest heartbeat; includes starts only if
    // `may_start_tasks`.
    std::vector<model::Command> commands_for(const std::string& machine, bool may_start_tasks, double now);
    // Removes and returns the stops to be sent immediately, grouped by machine.
    std::vector<DirectCommands> take_direct_commands();

    // --- planning ---
    // Releases lost machines and withdraws starts that were not sent to them.
    void detect_failures(double now);
    // Restarts the silence timers of all machines, since no heartbeat could arrive before `now`.
    void restart_silence_timers(double now);
    // Places tasks, preempts jobs and scales the cluster, given the demand of each job class.
    void plan(double now, std::int64_t wall_ms, const DemandByClass& demand);

    // --- durable writes ---
    // Returns the next batch, the most urgent changes first, or nothing if nothing must be written. The batch
    // is limited to `changes` changes, or to target_batch_changes if that is more.
    std::optional<WriteBatch> next_write_batch(std::size_t changes = SIZE_MAX);
    // Records that the batch was committed at this revision.
    void apply_commit(const WriteBatch& batch, std::uint64_t revision, double now, std::int64_t wall_ms);
    // Returns whether a batch must be written now.
    [[nodiscard]] bool write_due() const;
    // Records that the store rejected a batch as malformed, because its limits are lower than announced. The
    // next batches are smaller. Returns false if smaller batches were rejected too often.
    bool record_write_rejection();
    // Returns the machines with placements that became durable since the last call.
    std::vector<std::string> take_machines_with_durable_placements();

    // --- cloud ---
    // Sets the cloud's machine types. Returns whether they must be written.
    bool set_machine_types(const std::vector<model::MachineType>& types);
    // Returns whether a provisioning request is durable and not yet sent.
    [[nodiscard]] bool has_provisioning_request() const { return provisioning_requests_.has_sendable(); }
    // Returns the next provisioning request to send and marks it as in flight.
    std::optional<model::ProvisioningRequest> next_provisioning_request() {
        return provisioning_requests_.take_next();
    }
    // Records that the cloud provisioned these machines for the request of this name.
    void machines_provisioned(const std::string& name, const std::vector<std::string>& machines, double now);
    // Records that the cloud had no capacity for the request of this name.
    void provisioning_refused(const std::string& name, double now);
    // Records that no response to the request of this name was received, so that it is sent again.
    void provisioning_response_missing(const std::string& name) {
        provisioning_requests_.record_missing_response(name);
    }
    // Returns the machines to release next, at most as many as one request may name.
    [[nodiscard]] std::vector<std::string> machines_to_release(double now) const;
    // Records that the cloud confirmed the release of the machines: no task runs there any more.
    void machines_released(const std::vector<std::string>& machines, double now);
    // Applies the cloud's list of machines.
    void apply_machine_list(const std::vector<model::ListedMachine>& machines, double now);

    // --- queries ---
    // Returns the term's fencing token.
    [[nodiscard]] std::uint64_t fencing_token() const { return context_.fencing_token; }
    // Returns all jobs, by id.
    [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_.all(); }
    // Returns all machines, by name.
    [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_.all(); }
    // Returns when the latest heartbeat was applied, or the start of the term if there was none.
    [[nodiscard]] double last_heartbeat_s() const { return heartbeat_reconciler_.last_heartbeat_s(); }

   private:
    TermContext context_;
    PendingChanges pending_changes_;
    JobTable jobs_;
    MachineTable machines_;
    StopRequests stop_requests_;
    RunTimeEstimates run_time_estimates_;
    SlowdownAverages slowdown_averages_;
    ProvisioningRequests provisioning_requests_;
    TaskLifecycle task_lifecycle_;
    FailureDetector failure_detector_;
    HeartbeatReconciler heartbeat_reconciler_;
    CommandDelivery command_delivery_;
    MachineLifecycle machine_lifecycle_;
    SegmentStore segment_store_;
    DurableWrites durable_writes_;
    SnapshotBuilder snapshot_builder_;
    Planner planner_;
};

}  // namespace pineroad::cluster
