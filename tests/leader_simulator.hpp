/// Drives one leader's cluster state step by step against a simulated clock, store, cloud and workers that
/// follow the protocol; a test decides which messages are late or lost. Events are compared with an expected
/// trace, and every task start is also checked against the protocol's invariants.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "sample_jobs.hpp"
#include "store/watch_cache.hpp"
#include "trace.hpp"

namespace pineroad::test {

/// The rows of the consensus-backed store, with their revisions.
class InMemoryStore {
   public:
    struct Row {
        wire::Json value;
        std::uint64_t mod_revision = 0;
    };
    std::map<std::string, Row> rows;
    std::uint64_t revision = 0;  ///< of the last change
    /// Applies a transaction and returns the store's new revision, or nothing if a condition failed.
    std::optional<std::uint64_t> commit(const wire::Transaction& transaction);
    void put(const std::string& key, wire::Json value);
};

class LeaderSimulator {
   public:
    explicit LeaderSimulator(const std::string& trace);

    /// A machine's worker and its tasks.
    struct Worker {
        std::string id, type = "g4", zone = "a";
        bool spot = false, hung = false;
        std::uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
        std::optional<double> interruption_notice_s;
        std::vector<model::ReportedTask> tasks;
    };

    // --- time ---
    double now = 1000;  ///< seconds
    void advance(double seconds) { now += seconds; }
    [[nodiscard]] std::int64_t wall_ms() const { return static_cast<std::int64_t>(now * 1000); }
    /// Adds a line to the trace.
    void note(const std::string& line) { trace_.note(now - 1000, line); }

    // --- users ---
    void submit(model::JobSpec spec);
    /// Tells the leader of an accepted job, without a line in the trace.
    void add_accepted_job(const model::JobSpec& spec);
    /// Cancels a job and returns whether the cancellation was committed. Without `notify_leader` this leader
    /// never learns of it.
    bool cancel(const std::string& id, bool notify_leader = true);
    /// Returns "accepted", "done", "withdrawn" or "unknown", according to the store's records.
    [[nodiscard]] std::string job_status(const std::string& id) const;

    // --- the leader ---
    /// Begins a new term: a new leader loads its state from the store.
    void begin_term();
    void plan();
    /// Writes all pending changes to the store. Returns false if a condition of a transaction failed.
    bool commit_all();
    /// Plans and commits; then, if `machine` is given, sends its heartbeat, whose response carries the
    /// commands.
    void plan_and_commit(const std::string& machine = {});
    /// Returns the next write batch without applying it, or nothing if there is nothing to write.
    std::optional<cluster::WriteBatch> next_write_batch(std::size_t operations = SIZE_MAX);
    /// Commits a batch to the store and tells the leader. Returns false, without telling the leader, if a
    /// condition failed.
    bool apply_batch(const cluster::WriteBatch& batch);
    cluster::ClusterState& leader_state() { return *leader_state_; }

    // --- workers ---
    Worker& add_worker(const std::string& id, const std::string& type = "g4", const std::string& zone = "a",
                       bool spot = false);
    /// Adds workers of the default type in zone a and synchronizes them, so that they are ready for
    /// placements.
    void add_ready_workers(const std::vector<std::string>& ids);
    /// Returns the worker's next heartbeat without sending it.
    model::Heartbeat next_heartbeat(Worker& worker);
    /// Sends a heartbeat and returns the commands of the response. The worker executes them unless
    /// `lost_response` is set.
    std::vector<model::Command> send_heartbeat(const std::string& id, bool lost_response = false);
    void send_heartbeats(const std::vector<std::string>& ids);
    /// Lets a worker execute commands; it ignores those under an older fencing token than its own.
    void execute(Worker& worker, const std::vector<model::Command>& commands, std::uint64_t fencing_token);
    void deliver_direct_commands();
    void set_task_state(const std::string& task_name, model::TaskState state,
                        model::ExitCause cause = model::ExitCause::none, bool checkpoint_saved = false);
    /// Expires the worker's lease, which ends its tasks and begins a new agent epoch.
    void expire_worker_lease(const std::string& id);
    /// Sends two heartbeats: the worker learns the fencing token from the response to the first, and the
    /// second reports its tasks under that token.
    void synchronize_worker(const std::string& id);
    /// Plans and commits, starts the tasks placed on the machine, and reports them as running in a second
    /// heartbeat.
    void run_placed_tasks(const std::string& machine);
    /// Submits a job, then calls run_placed_tasks().
    void run_job(const model::JobSpec& spec, const std::string& machine);

    // --- cloud ---
    /// Fulfils the open provisioning requests, adds their machines as workers and returns the requests.
    std::vector<model::ProvisioningRequest> provision_machines();
    void release_machines();

    std::map<std::string, Worker> workers;
    InMemoryStore store;
    config::Settings config = settings();
    config::Tuning tuning;
    int starts = 0;                 ///< start commands that workers have executed
    bool sharding_allowed = false;  ///< every controller reads the current record format
    std::map<std::string, model::JobSpec> specs;
    std::map<std::string, double> cancelled_at;

   private:
    void record_job_outcome(const std::string& id, const model::JobOutcome& outcome);
    void execute_start(Worker& worker, const model::Command& command);
    void execute_stop(model::ReportedTask& task, const model::Command& command) const;
    void check_start(const Worker& worker, const model::TaskId& task) const;
    void check_quota(const model::JobSpec& spec) const;
    void check_placement(const Worker& worker, const model::JobSpec& spec) const;
    Trace trace_;
    std::unique_ptr<store::WatchCache> watch_cache_;
    std::unique_ptr<cluster::ClusterState> leader_state_;
    std::uint64_t fencing_token_ = 0;
    int last_machine_number_ = 0;
    std::map<std::string, std::vector<std::string>> machines_by_request_;  // by request name
};

/// A simulator in its first term, with workers that are ready for placements.
class StartedLeader : public LeaderSimulator {
   public:
    explicit StartedLeader(const std::string& trace, const std::vector<std::string>& ready_workers = {});
};

}  // namespace pineroad::test
