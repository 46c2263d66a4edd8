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

#include "control/book.hpp"
#include "control/mirror.hpp"

namespace pineroad::test {

config::Settings settings();                      // two zones a and b, one team
std::vector<model::MachineType> machine_types();  // g4: 32 CPUs, 4 GPUs; g2: 16 CPUs, 2 GPUs
model::JobSpec array_job(const std::string& id, std::uint32_t tasks);
model::JobSpec gang_job(const std::string& id, std::uint32_t tasks);

class StateStandIn {
   public:
    struct Row {
        wire::Json value;
        std::uint64_t stamp = 0;
    };
    std::map<std::string, Row> rows;
    std::uint64_t epoch = 0;
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
        std::uint64_t session = 1, tick = 0, token = 0;
        std::optional<double> notice_s;
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
    std::optional<control::Batch> take_batch(std::size_t ops = SIZE_MAX);
    bool apply(const control::Batch& batch);  // by the state service, then told to the book
    control::Book& book() { return *book_; }

    // --- workers ---
    Worker& worker(const std::string& id, const std::string& type = "g4", const std::string& zone = "a",
                   bool spot = false);
    model::Report report(Worker& w);
    // One report, its answer executed. With lost_answer the worker drops the answer.
    std::vector<model::Order> checkin(const std::string& id, bool lost_answer = false);
    void execute(Worker& w, const std::vector<model::Order>& orders, std::uint64_t token);
    void direct();  // stops by /do
    void set(const std::string& task, model::TaskState state, model::ExitCause cause = model::ExitCause::none,
             bool saved = false);
    void lose_session(const std::string& id);
    // Two reports: the first shows the worker the token, the second proves what it runs.
    void meet(const std::string& id);
    // Workers of the default type in zone a that have proven to run nothing.
    void add_ready_workers(const std::vector<std::string>& ids);
    void checkin_all(const std::vector<std::string>& ids);
    // Placements are written, and a machine's report takes its starts; its tasks run and are reported so.
    void run_placed_tasks(const std::string& machine);
    // The same for a job that is submitted now.
    void run_job(const model::JobSpec& spec, const std::string& machine);

    // --- cloud ---
    std::vector<model::Rental> rent();  // open rentals are answered in full
    void release();

    std::map<std::string, Worker> workers;
    StateStandIn state;
    config::Settings config = settings();
    config::Tuning tuning;
    int starts = 0;
    bool parts_allowed = false;  // every controller reads the present record format
    std::map<std::string, model::JobSpec> specs;
    std::map<std::string, double> cancelled_at;

   private:
    void judge_start(const Worker& w, const model::TaskId& task);
    std::string name_;
    std::ostringstream trace_;
    void ended(const std::string& id, const model::Ending& ending);
    std::unique_ptr<control::Mirror> mirror_;
    std::unique_ptr<control::Book> book_;
    std::uint64_t token_ = 0;
    int machines_ = 0;
    std::map<std::string, std::vector<std::string>> rented_;
};

// A simulator in its first term, with workers that are ready for placements: what most tests begin with.
class StartedLeader : public World {
   public:
    explicit StartedLeader(const std::string& trace, const std::vector<std::string>& ready_workers = {});
};

std::string text(const model::Order& o);
// The trace kept under the name is compared with this one, or written anew with PINEROAD_KEEP_TRACES.
void keep_trace(const std::string& name, const std::string& trace);

}  // namespace pineroad::test
