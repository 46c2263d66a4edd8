// A soak: whole controllers under random jobs and random faults, several at a time, in simulated time. Each
// seed gives one repeatable run. The suite runs a few seeds; PINEROAD_SOAK_SEEDS (a seed, or FIRST-LAST)
// names others for a longer run by hand (README.md, Test).
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <functional>
#include <random>

#include "cluster_simulator.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;

constexpr double fault_phase_s = 150;     // during which jobs are submitted and faults begin
constexpr double forgotten_after_s = 75;  // an accepted job without an answer for this long is forgotten
constexpr double max_task_run_s = 30;
constexpr double begin_within_s = 240;  // even the largest jobs have to begin within four minutes
// For all jobs to finish once there are no more faults: the tasks of an array need not begin together.
constexpr double completion_phase_s = begin_within_s + 2 * max_task_run_s;
constexpr std::size_t copied_messages = 40;  // the latest ones, of which copies are delivered

class SoakCluster : public ClusterSimulator {
   public:
    explicit SoakCluster(std::uint64_t seed) : ClusterSimulator(no_trace, 3), random_(seed) {
        workers.cloud_capacity = 8;
        run(5);
    }

    void run_fault_phase() {
        for (const double end = now() + fault_phase_s; now() < end;) {
            begin_random_event();
            run(uniform(0.1, 1.5));
            end_due_faults();
        }
        for (const auto& fault : faults_) fault.end();
        faults_.clear();
        write_delay_s = 0;
        store.extend_leases(now());
    }

    // Every controller must answer for every accepted job, and each job must finish unless it was cancelled.
    void check_all_jobs() {
        const double healed_at = now();
        for (const auto& id : accepted_)
            for (int controller = 0; controller < controllers(); ++controller) {
                std::string status = status_of(controller, id);
                while (status.empty() && now() < healed_at + forgotten_after_s) {
                    run(1);
                    status = status_of(controller, id);
                }
                EXPECT_NE(status, "") << "forgotten: " << id << " at c-" << controller;
            }
        for (const auto& id : accepted_) {
            while (!is_final(status_of(0, id)) && now() < healed_at + completion_phase_s) run(2);
            EXPECT_TRUE(is_final(status_of(0, id))) << "never finished: " << id << " " << status_of(0, id);
        }
    }

    [[nodiscard]] std::size_t accepted_jobs() const { return accepted_.size(); }
    [[nodiscard]] int faults_begun() const { return faults_begun_; }

   private:
    // A fault that has begun, and how it ends.
    struct Fault {
        double end_at = 0;
        std::function<void()> end;
    };

    double uniform(double from, double to) { return std::uniform_real_distribution<>(from, to)(random_); }
    int pick(int count) { return std::uniform_int_distribution<>(0, count - 1)(random_); }
    bool chance(double probability) { return uniform(0, 1) < probability; }
    static bool is_final(const std::string& status) { return status == "done" || status == "withdrawn"; }

    void begin_random_event() {
        if (chance(0.55)) return submit_random_job();
        if (chance(0.3)) return cancel_random_job();
        if (chance(0.4)) return deliver_copies();
        if (faults_.size() < 3) begin_random_fault();
    }

    void submit_random_job() {
        const auto id = "j-" + std::to_string(++last_job_);
        const bool is_gang = chance(0.3);
        json::object overrides{{"Pieces", 1 + pick(4)}, {"Shape", is_gang ? "group" : "batch"}};
        if (chance(0.2)) overrides["Yard"] = chance(0.5) ? "a" : "b";
        if (chance(0.2)) overrides["Together"] = true;
        if (chance(0.2)) overrides["Spread"] = true;
        // The team's limit of two GPUs leaves little room, so its tasks are short.
        const bool is_limited = chance(0.2);
        if (is_limited) overrides["Crew"] = "capped";
        if (chance(0.2)) overrides["Urgency"] = "high";
        if (chance(0.2) && !accepted_.empty()) overrides["WaitsOn"] = json::array{random_job()};
        for (int task = 0; task < 4; ++task)
            workers.task_run_s[id + "/" + std::to_string(task)] = uniform(2, is_limited ? 6 : max_task_run_s);
        const auto response = submit(pick(controllers()), id, overrides);
        if (response && response->status / 100 == 2) accepted_.push_back(id);
    }

    void cancel_random_job() {
        if (accepted_.empty()) return;
        const auto id = random_job();
        cancel(pick(controllers()), id);
    }

    std::string random_job() {
        return accepted_.at(static_cast<std::size_t>(pick(static_cast<int>(accepted_.size()))));
    }

    void deliver_copies() {
        const auto& all = workers.carried_out;
        const auto first = all.size() - std::min(all.size(), copied_messages);
        const std::vector<CommandMessage> copies(all.begin() + static_cast<std::ptrdiff_t>(first), all.end());
        const int starts_before = workers.starts;
        for (const auto& message : copies) workers.deliver_copy(message);
        EXPECT_EQ(workers.starts, starts_before) << "a copied command has started a task";
    }

    void begin_random_fault() {
        ++faults_begun_;
        switch (pick(9)) {
            case 0:
                return end_controllers({pick(controllers())});
            case 1:
                return end_controllers({0, 1, 2});
            case 2:
                return begin_store_outage();
            case 3:
                return isolate_controller(pick(controllers()));
            case 4:
                return begin_machine_fault();
            case 5:
                return restart_random_worker();
            case 6:
                write_delay_s = uniform(1, 4);
                return add_fault(uniform(1, 6), [this] { write_delay_s = 0; });
            case 7:
                return withdraw_zone();
            default:
                workers.duplicate_heartbeats_after_s = uniform(2, 45);
                return add_fault(uniform(5, 30), [this] { workers.duplicate_heartbeats_after_s = 0; });
        }
    }

    void add_fault(double seconds, std::function<void()> end) {
        faults_.push_back({now() + seconds, std::move(end)});
    }

    // The processes end and come back after the same time, within a fraction of a second or later.
    void end_controllers(const std::vector<int>& ended) {
        for (const int controller : ended) kill(controller);
        add_fault(chance(0.5) ? uniform(0.1, 0.9) : uniform(2, 12), [this, ended] {
            for (const int controller : ended) restart(controller);
        });
    }

    // The cloud stops offering machines in zone b, so that jobs that need both zones can't run meanwhile.
    void withdraw_zone() {
        for (auto& type : *workers.offered_types) type.zones = {"a"};
        add_fault(uniform(20, 80), [this] { workers.offered_types = machine_types(); });
    }

    void begin_store_outage() {
        store_outage = true;
        add_fault(uniform(1, 15), [this] {
            store_outage = false;
            store.extend_leases(now());
        });
    }

    void isolate_controller(int controller) {
        const bool from_store = chance(0.6), from_peers = chance(0.6);
        if (from_store) partitioned_from_store.insert(controller);
        if (from_peers) partitioned_from_peers.insert(controller);
        if (!from_store) rejected_by_store.insert(controller);
        add_fault(uniform(1, 20), [this, controller] {
            partitioned_from_store.erase(controller);
            partitioned_from_peers.erase(controller);
            rejected_by_store.erase(controller);
        });
    }

    std::string random_machine() {
        if (workers.machines.empty()) return "";
        const auto machine =
            std::next(workers.machines.begin(), pick(static_cast<int>(workers.machines.size())));
        return machine->first;
    }

    void begin_machine_fault() {
        const auto id = random_machine();
        if (id.empty()) return;
        auto& fault = workers.machines.at(id).fault;
        fault.hung = chance(0.34);
        fault.inbound_partition = !fault.hung && chance(0.5);
        fault.outbound_partition = !fault.hung && !fault.inbound_partition;
        add_fault(uniform(1, 50), [this, id] {
            const auto machine = workers.machines.find(id);
            if (machine != workers.machines.end()) machine->second.fault = {};
        });
    }

    void restart_random_worker() {
        const auto id = random_machine();
        if (!id.empty()) workers.restart_worker(id);
    }

    void end_due_faults() {
        std::vector<Fault> active;
        for (auto& fault : std::exchange(faults_, {}))
            if (fault.end_at <= now())
                fault.end();
            else
                active.push_back(std::move(fault));
        faults_ = std::move(active);
    }

    std::string status_of(int controller, const std::string& id) {
        const auto response = poll(controller, id);
        EXPECT_FALSE(response && response->status == 404) << "forgotten: " << id;
        if (!response || response->status != 200) return "";
        return std::string(json::parse(response->body).at("Status").as_string());
    }

    std::mt19937_64 random_;
    std::vector<Fault> faults_;
    std::vector<std::string> accepted_;
    int last_job_ = 0, faults_begun_ = 0;
};

// The last one is listed in KNOWN-RED.txt.
const std::vector<std::uint64_t> default_seeds{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 284};

// Returns the seeds named by PINEROAD_SOAK_SEEDS (a seed, or FIRST-LAST), by default default_seeds.
std::vector<std::uint64_t> soak_seeds() {
    const char* range = std::getenv("PINEROAD_SOAK_SEEDS");
    if (!range) return default_seeds;
    const std::string text(range);
    const auto first = std::stoull(text);
    const auto last = std::stoull(text.substr(text.find('-') + 1));
    std::vector<std::uint64_t> seeds;
    for (auto seed = first; seed <= last; ++seed) seeds.push_back(seed);
    return seeds;
}

class Soak : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against what only a meeting of several faults breaks: the rules of the invariant checker, and jobs
// that are forgotten or never finish.
TEST_P(Soak, RandomJobsAndFaultsBreakNoRule) {
    SoakCluster cluster(GetParam());
    cluster.run_fault_phase();
    cluster.check_all_jobs();
    EXPECT_GT(cluster.accepted_jobs(), 10U);
    EXPECT_GT(cluster.faults_begun(), 5);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(soak_seeds()),
                         [](const auto& info) { return std::to_string(info.param); });

}  // namespace
}  // namespace pineroad::test
