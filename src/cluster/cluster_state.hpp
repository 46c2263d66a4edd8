// The leader's in-memory cluster state of one term: what is wanted, what was observed, and what of it is
// durable. No I/O and no clock: heartbeats, events, commits and answers of the cloud come in with a time;
// commands, transactions and calls come out.
//
// Each part owns its own fields; this facade gives them the time and delegates:
//
//   JobTable, MachineTable     jobs with their placements; machines, their types and those released
//   TaskLifecycle              placed, exited, lost: the one way by which placements change
//   HeartbeatReconciler        heartbeats
//   CommandDelivery            commands to workers, with StopRequests
//   FailureDetector            which machines are given up
//   MachineLifecycle           the cloud's answers about machines, with ProvisioningRequests
//   DurableWrites              batches and commits, with SegmentStore, PendingChanges and WriteBatchBuilder
//   StateLoader                the records of earlier terms
//   Planner, SnapshotBuilder   the scheduler's decisions, with RunTimeEstimates and SlowdownAverages
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

// The cluster state of one term. Times are seconds of the process's steady clock; times of day are in
// milliseconds and say so.
class ClusterState {
   public:
    // Of the term with this fencing token, whose leadership key has this mod revision. The settings and
    // tuning must outlive the state.
    ClusterState(const config::Settings& settings, const config::Tuning& tuning, std::uint64_t fencing_token,
                 std::uint64_t leader_revision, double now);

    // --- failover ---
    // Takes over the records, to which no earlier term can add any more. The watch cache must outlive the
    // state: it holds the dependencies between jobs.
    void load(const store::WatchCache& watch_cache, double now, std::int64_t wall_ms = 0);

    // --- events of the store ---
    // A job was accepted; its record has this mod revision.
    void job_added(const model::JobSpec& spec, std::uint64_t mod_revision, double now);
    // A job was cancelled by its user.
    void job_cancelled(const std::string& id, double now);
    // A job that this one depends on was cancelled: this one has no tasks, and its own final record is to be
    // written.
    void job_cancelled_by_dependency(const std::string& id, double now);
    // Large jobs may be written in shards: every controller reads that format.
    void allow_sharding();

    // --- workers ---
    // Applies a heartbeat. False: it is stale, or from a released machine; it changed nothing.
    bool apply_heartbeat(const model::Heartbeat& heartbeat, double now);
    // Whether every start for the machine is durable already.
    [[nodiscard]] bool placements_durable(const std::string& machine) const;
    // Whether the machine could take the smallest task that came lately: the answer to its heartbeat may wait
    // a little for one.
    [[nodiscard]] bool has_room(const std::string& machine, double now) const;
    // Whether the machine can be sent a command that it does not have yet: a durable start, or a stop.
    [[nodiscard]] bool has_pending_commands(const std::string& machine) const;
    // The commands of an answer to the machine's latest heartbeat; starts only if the leader may start tasks.
    std::vector<model::Command> commands_for(const std::string& machine, bool may_start, double now);
    // Stops that are to be sent at once, by machine.
    std::vector<DirectCommands> take_direct_commands();

    // --- planning ---
    // Releases lost machines and withdraws starts that were not sent to them.
    void detect_failures(double now);
    // No heartbeat could arrive before: silence counts from here.
    void restart_silence_timers(double now);
    // Places tasks, preempts and scales, with what the classes of jobs demand.
    void plan(double now, std::int64_t wall_ms, const DemandByClass& demand);

    // --- durable writes ---
    // The next batch of at most so many changes, the more urgent first; nothing if nothing is to be written.
    std::optional<WriteBatch> next_write_batch(std::size_t changes = SIZE_MAX);
    // The batch was committed at this revision.
    void apply_commit(const WriteBatch& batch, std::uint64_t revision, double now, std::int64_t wall_ms);
    // Whether a batch is to be written now.
    [[nodiscard]] bool write_due() const;
    // The store rejected a batch as malformed: its limits are lower than announced. What follows is smaller.
    // False: that has not helped so far.
    bool reject_write_batch();
    // Machines with starts that became durable since the last call.
    std::vector<std::string> take_machines_with_durable_starts();

    // --- cloud ---
    // The cloud's machine types. Returns whether they are to be written.
    bool set_machine_types(const std::vector<model::MachineType>& types);
    // Whether a provisioning request is durable and not under way.
    [[nodiscard]] bool has_provisioning_request() const { return provisioning_.has_sendable(); }
    // The next provisioning request to be sent; it counts as under way from here.
    std::optional<model::ProvisioningRequest> next_provisioning_request() {
        return provisioning_.take_next();
    }
    // The cloud provisioned these machines for the request of this name.
    void machines_provisioned(const std::string& name, const std::vector<std::string>& machines, double now);
    // The cloud had no capacity for the request of this name.
    void provisioning_refused(const std::string& name, double now);
    // No answer came to the request of this name: it is sent again.
    void provisioning_unanswered(const std::string& name) { provisioning_.record_missing_answer(name); }
    // Machines to be released next, as many as one request may name.
    [[nodiscard]] std::vector<std::string> machines_to_release(double now) const;
    // The release of the machines was answered: nothing runs there any more.
    void machines_released(const std::vector<std::string>& machines, double now);
    // The cloud's list of machines.
    void apply_machine_list(const std::vector<model::ListedMachine>& machines, double now);

    // --- queries ---
    // The term's fencing token.
    [[nodiscard]] std::uint64_t fencing_token() const { return context_.fencing_token; }
    // All jobs, by name.
    [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_.all(); }
    // All machines, by name.
    [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_.all(); }
    // When the latest heartbeat was applied; the start of the term before the first.
    [[nodiscard]] double last_heartbeat() const { return heartbeats_.last_heartbeat_s(); }

   private:
    TermContext context_;
    PendingChanges pending_changes_;
    JobTable jobs_;
    MachineTable machines_;
    StopRequests stop_requests_;
    RunTimeEstimates estimates_;
    SlowdownAverages averages_;
    ProvisioningRequests provisioning_;
    TaskLifecycle tasks_;
    FailureDetector failures_;
    HeartbeatReconciler heartbeats_;
    CommandDelivery commands_;
    MachineLifecycle machine_lifecycle_;
    SegmentStore segments_;
    DurableWrites writes_;
    SnapshotBuilder snapshots_;
    Planner planner_;
};

}  // namespace pineroad::cluster
