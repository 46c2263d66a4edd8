// A simulated clock and stand-ins of the state service, the cloud and the workers, written from the protocol,
// with its lateness. A scenario drives a Book through them; what happens is a trace that is kept and
// compared. Every start is judged by the protocol's rules, whatever the trace says.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::test {

config::Settings settings();                      // two zones a and b, one team
std::vector<model::MachineType> machine_types();  // g4: 32 CPUs, 4 GPUs; g2: 16 CPUs, 2 GPUs
model::JobSpec array_job(const std::string& id, std::uint32_t tasks);
model::JobSpec gang_job(const std::string& id, std::uint32_t tasks);

class StateStandIn {
   public:
    struct Row {
        wire::Json value;
        std::uint64_t mod_revision = 0;
    };
    std::map<std::string, Row> rows;
    std::uint64_t revision = 0;
    // The new revision, or nothing: a condition failed.
    std::optional<std::uint64_t> commit(const wire::Transaction& txn);
    void put(const std::string& key, wire::Json value);
};

class World {
   public:
    explicit World(std::string name);
    ~World();

    struct Worker {
        std::string id, type = "g4", zone = "a";
        bool spot = false, hung = false;
        std::uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
        std::optional<double> interruption_notice_s;
        std::vector<model::ReportedTask> tasks;
    };

    // --- time ---
    double now = 1000;
    void pass(double s) { now += s; }
    [[nodiscard]] std::int64_t wall_ms() const { return static_cast<std::int64_t>(now * 1000); }
    void note(const std::string& line);

    // --- users ---
    void submit(model::JobSpec spec);
    void add_silently(const model::JobSpec& spec);  // the leader hears of an accepted job; no line of trace
    bool cancel(const std::string& id, bool leader_hears = true);
    [[nodiscard]] std::string status(const std::string& id) const;

    // --- controllers ---
    void lead();  // a new term of a fresh Book, loaded from the state service
    void plan();
    bool commit();  // everything dirty, through the state service
    // A plan and its commits; then, if one is named, a machine's report that takes the orders.
    void decide(const std::string& machine = {});
    std::optional<cluster::WriteBatch> take_write_batch(std::size_t ops = SIZE_MAX);
    bool apply(const cluster::WriteBatch& batch);  // by the state service, then told to the book
    cluster::ClusterState& cluster_state() { return *cluster_state_; }

    // --- workers ---
    Worker& worker(const std::string& id, const std::string& type = "g4", const std::string& zone = "a",
                   bool spot = false);
    model::Heartbeat report(Worker& w);
    // One report, its answer executed. With lost_answer the worker drops the answer.
    std::vector<model::Command> handle_heartbeat(const std::string& id, bool lost_answer = false);
    void execute(Worker& w, const std::vector<model::Command>& commands, std::uint64_t fencing_token);
    void direct();  // stops by /do
    void set(const std::string& task, model::TaskState state, model::ExitCause cause = model::ExitCause::none,
             bool saved = false);
    void lose_session(const std::string& id);
    // Two reports: the first shows the worker the token, the second proves what it runs.
    void meet(const std::string& id);

    // --- cloud ---
    std::vector<model::ProvisioningRequest> rent();  // open rentals are answered in full
    void release();

    std::map<std::string, Worker> workers;
    StateStandIn state;
    config::Settings config = settings();
    config::Tuning tuning;
    int starts = 0;
    bool sharding_allowed = false;  // every controller reads the present record format
    std::map<std::string, model::JobSpec> specs;
    std::map<std::string, double> cancelled_at;

   private:
    void judge_start(const Worker& w, const model::TaskId& task);
    std::string name_;
    std::ostringstream trace_;
    void ended(const std::string& id, const model::JobOutcome& ending);
    std::unique_ptr<store::WatchCache> watch_cache_;
    std::unique_ptr<cluster::ClusterState> cluster_state_;
    std::uint64_t fencing_token_ = 0;
    int machines_ = 0;
    std::map<std::string, std::vector<std::string>> provisioned_;
};

std::string text(const model::Command& o);
// The trace kept under the name is compared with this one, or written anew with PINEROAD_KEEP_TRACES.
void keep_trace(const std::string& name, const std::string& trace);

}  // namespace pineroad::test
