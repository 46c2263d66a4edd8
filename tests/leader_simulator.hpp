/// One leader's state, driven step by step against a simulated clock, store, cloud and workers that behave
/// as the protocol says, with its lateness. What happens is written to a kept trace; every start is checked
/// against the protocol's rules, whatever the trace says.
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

/// The keys of the consensus-backed store and their revisions.
class SimulatedStore {
   public:
    struct Row {
        wire::Json value;
        std::uint64_t mod_revision = 0;
    };
    std::map<std::string, Row> rows;
    std::uint64_t revision = 0;  ///< the store's revision
    /// The new revision of the store, or nothing: a condition failed.
    std::optional<std::uint64_t> commit(const wire::Transaction& transaction);
    void put(const std::string& key, wire::Json value);
};

class LeaderSimulator {
   public:
    explicit LeaderSimulator(const std::string& trace);

    /// A machine's worker, and what runs on it.
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
    /// A line of the trace.
    void note(const std::string& line) { trace_.note(now - 1000, line); }

    // --- users ---
    void submit(model::JobSpec spec);
    /// The leader learns of an accepted job, without a line in the trace.
    void add_accepted_job(const model::JobSpec& spec);
    /// Whether the cancellation was committed. The leader learns of it now, or never.
    bool cancel(const std::string& id, bool notify_leader = true);
    /// "accepted", "done", "withdrawn" or "unknown", by the store's records.
    [[nodiscard]] std::string job_status(const std::string& id) const;

    // --- the leader ---
    /// A new term: a fresh leader reads its state from the store.
    void begin_term();
    void plan();
    /// Everything not yet written, to the store. False: a transaction was refused.
    bool commit_all();
    /// A plan and its commits; then, if a machine is named, a heartbeat of it that takes the commands.
    void plan_and_commit(const std::string& machine = {});
    /// The next write batch, which is not applied yet.
    std::optional<cluster::WriteBatch> next_write_batch(std::size_t operations = SIZE_MAX);
    /// By the store; then the leader gets the answer. False: a condition failed.
    bool apply_batch(const cluster::WriteBatch& batch);
    cluster::ClusterState& leader_state() { return *leader_state_; }

    // --- workers ---
    Worker& add_worker(const std::string& id, const std::string& type = "g4", const std::string& zone = "a",
                       bool spot = false);
    /// Workers of the default type in zone a that have proven to run nothing.
    void add_ready_workers(const std::vector<std::string>& ids);
    model::Heartbeat next_heartbeat(Worker& worker);
    /// One heartbeat, its answer executed; with lost_response the worker never gets it.
    std::vector<model::Command> send_heartbeat(const std::string& id, bool lost_response = false);
    void send_heartbeats(const std::vector<std::string>& ids);
    /// By a worker: commands under an older fencing token are ignored.
    void execute(Worker& worker, const std::vector<model::Command>& commands, std::uint64_t fencing_token);
    void deliver_direct_commands();
    void set_task_state(const std::string& task_name, model::TaskState state,
                        model::ExitCause cause = model::ExitCause::none, bool saved = false);
    /// The worker's lease expires: its tasks have ended, and a new agent epoch begins.
    void expire_worker_lease(const std::string& id);
    /// Two heartbeats: the first shows the worker the token, the second proves what it runs.
    void synchronize_worker(const std::string& id);
    /// Placements are written, and a heartbeat of the machine takes its starts; the tasks run, and the next
    /// heartbeat shows it.
    void run_placed_tasks(const std::string& machine);
    /// The same for a job that is submitted now.
    void run_job(const model::JobSpec& spec, const std::string& machine);

    // --- cloud ---
    /// Open provisioning requests, which are answered in full.
    std::vector<model::ProvisioningRequest> provision_machines();
    void release_machines();

    std::map<std::string, Worker> workers;
    SimulatedStore store;
    config::Settings config = settings();
    config::Tuning tuning;
    int starts = 0;                 ///< that workers have executed
    bool sharding_allowed = false;  ///< every controller reads the present record format
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
    std::map<std::string, std::vector<std::string>> machines_by_request_;  // by the request's name
};

/// A simulator in its first term, with workers that are ready for placements: what most tests begin with.
class StartedLeader : public LeaderSimulator {
   public:
    explicit StartedLeader(const std::string& trace, const std::vector<std::string>& ready_workers = {});
};

}  // namespace pineroad::test
