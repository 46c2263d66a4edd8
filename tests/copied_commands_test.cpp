// Late copies of start commands: a message that a worker has carried out and answered reaches it once more,
// after a controller or the machine came back within a second, in another term or after an upgrade. The
// invariant checker verifies ran_twice, ran_cancelled and its other rules at every step.
#include <gtest/gtest.h>

#include <functional>

#include "cluster_simulator.hpp"
#include "named_case.hpp"

namespace pineroad::test {
namespace {

const std::string watched_job = "j-1";

// What has happened to the task of the watched job before the copies arrive.
enum class TaskHistory { running, stopped, forgotten, moved, cancelled };

// What else happens just before the copies arrive.
enum class Disturbance { none, controller_back, machine_back, new_leader, upgrade };

// Three controllers, and a task that has started on one of the machines. Reports are repeated as well.
class CopiedCommandsCluster : public ClusterSimulator {
   public:
    CopiedCommandsCluster(const std::string& trace, const ClusterOptions& options, std::size_t machines)
        : ClusterSimulator(trace, 3, options) {
        workers.cloud_capacity = machines;
        workers.duplicate_heartbeats_after_s = repeated_heartbeat_delay_s;
        workers.image_fetch_s = 0;  // a copied start would execute at once, with the cached image
        run(5);
        EXPECT_EQ(submit(0, watched_job)->status, 201);
        run_until([&] { return workers.executing_task_count() == 1; });
        first_machine_ = workers.machine_with_task_of(watched_job).id;
    }

    void reach(TaskHistory history) {
        switch (history) {
            case TaskHistory::running:
                return;
            case TaskHistory::stopped:
                give_notice();
                return run_until([&] { return !workers.has_live_task_of(watched_job); });
            case TaskHistory::forgotten:
                give_notice();
                return run_until([&] { return !first_machine().has_task_of(watched_job); });
            case TaskHistory::moved:
                give_notice();
                return run_until([&] {
                    return workers.executing_task_count() == 1 && !first_machine().has_task_of(watched_job);
                });
            case TaskHistory::cancelled:
                EXPECT_EQ(cancel(1, watched_job)->status, 200);
                return run_until([&] { return !first_machine().has_task_of(watched_job); });
        }
    }

    void apply(Disturbance disturbance) {
        const int old_leader = leader();
        switch (disturbance) {
            case Disturbance::none:
                return;
            case Disturbance::controller_back:
                note("end       of the leader, back within a second");
                kill(old_leader);
                run_with_copies(process_restart_s);
                return restart(old_leader);
            case Disturbance::machine_back:
                note("restart   of the worker on " + first_machine_);
                return workers.restart_worker(first_machine_);
            case Disturbance::new_leader:
                note("end       of the leader");
                return kill(old_leader);
            case Disturbance::upgrade:
                return upgrade(old_leader);
        }
    }

    // Advances the time and delivers copies of every start command carried out so far, again and again.
    void run_with_copies(double seconds) {
        for (const double deadline = now() + seconds; now() < deadline;) {
            deliver_copies();
            run(copy_interval_s);
        }
    }

    [[nodiscard]] int delivered_start_copies() const { return delivered_start_copies_; }

   private:
    static constexpr double repeated_heartbeat_delay_s = 5;
    static constexpr double process_restart_s = 0.4;
    static constexpr double copy_interval_s = 0.25;
    static constexpr double max_wait_s = 60;

    SimulatedMachine& first_machine() { return workers.machines.at(first_machine_); }

    // The leader stops the machine's tasks and starts them elsewhere, if there is room.
    void give_notice() {
        note("notice    for " + first_machine_);
        first_machine().interruption_notice_s = 300;
    }

    void run_until(const std::function<bool()>& condition) {
        for (const double deadline = now() + max_wait_s; !condition() && now() < deadline;) run(0.05);
        EXPECT_TRUE(condition());
    }

    // A copy must start nothing: neither a task that the worker still has nor one that it has forgotten.
    void deliver_copies() {
        const auto messages = workers.carried_out;
        const int starts_before = workers.starts;
        for (const auto& message : messages) {
            if (!message.starts_task_of(watched_job)) continue;
            workers.deliver_copy(message);
            ++delivered_start_copies_;
        }
        EXPECT_EQ(workers.starts, starts_before) << "a copied command has started a task";
    }

    std::string first_machine_;
    int delivered_start_copies_ = 0;
};

struct CopiedCommandCase {
    std::string name, trace_name;
    TaskHistory history = TaskHistory::running;
    Disturbance disturbance = Disturbance::none;
    friend std::ostream& operator<<(std::ostream& out, const CopiedCommandCase& c) { return out << c.name; }
};

// Returns every history with every disturbance.
std::vector<CopiedCommandCase> copied_command_cases() {
    const std::vector<NamedCase<TaskHistory>> histories{{"Running", TaskHistory::running},
                                                        {"Stopped", TaskHistory::stopped},
                                                        {"Forgotten", TaskHistory::forgotten},
                                                        {"Moved", TaskHistory::moved},
                                                        {"Cancelled", TaskHistory::cancelled}};
    const std::vector<NamedCase<Disturbance>> disturbances{{"", Disturbance::none},
                                                           {"ControllerBack", Disturbance::controller_back},
                                                           {"MachineBack", Disturbance::machine_back},
                                                           {"NewLeader", Disturbance::new_leader},
                                                           {"Upgrade", Disturbance::upgrade}};
    std::vector<CopiedCommandCase> cases;
    for (const auto& history : histories)
        for (const auto& disturbance : disturbances) {
            const auto name = history.name + disturbance.name;
            cases.push_back({name, "copied_command_" + name, history.value, disturbance.value});
        }
    return cases;
}

class CopiedStartCommand : public ::testing::TestWithParam<CopiedCommandCase> {};

// Guards against a task that runs on two machines at once, and a cancelled task that runs again: a worker
// that has forgotten an attempt would carry out a copy of its start command, so a start must never travel in
// a message that can be repeated.
TEST_P(CopiedStartCommand, StartsNothing) {
    const auto& [name, trace_name, history, disturbance] = GetParam();
    const auto options = disturbance == Disturbance::upgrade ? earlier_version() : ClusterOptions();
    CopiedCommandsCluster cluster(trace_name, options, history == TaskHistory::moved ? 3 : 1);
    cluster.reach(history);
    cluster.run_with_copies(1);
    cluster.apply(disturbance);
    cluster.run_with_copies(25);
    EXPECT_GT(cluster.delivered_start_copies(), 0);
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
    EXPECT_LE(cluster.workers.executing_task_count(), 1U);
    const bool may_run = history != TaskHistory::cancelled;
    EXPECT_TRUE(may_run || !cluster.workers.has_live_task_of(watched_job));
}

INSTANTIATE_TEST_SUITE_P(After, CopiedStartCommand, ::testing::ValuesIn(copied_command_cases()),
                         case_name<CopiedCommandCase>);

}  // namespace
}  // namespace pineroad::test
