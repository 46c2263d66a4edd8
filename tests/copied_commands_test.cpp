// Late copies of start commands: a message that a worker has carried out and answered reaches it once more,
// after a controller or the machine came back within a second, in another term or after an upgrade. The
// invariant checker verifies ran_twice, ran_cancelled and its other rules at every step.
#include <gtest/gtest.h>

#include <algorithm>
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

// Three controllers, and machines that each run a task and have room for the watched one. Their heartbeats
// are not held for it, so its start is in the response to a heartbeat just sent, and its worker carries out
// copies for the longest time. Heartbeats are duplicated as well.
class CopiedCommandsCluster : public ClusterSimulator {
   public:
    CopiedCommandsCluster(const std::string& trace, const ClusterOptions& options, int machines)
        : ClusterSimulator(trace, 3, options), machines_(static_cast<std::size_t>(machines)) {
        workers.cloud_capacity = machines_;
        workers.duplicate_heartbeats_after_s = duplicate_heartbeat_delay_s;
        workers.image_fetch_s = 0;  // a copied start executes at once, with the cached image
        workers.checkpoint_duration_s = checkpoint_s;
        run(5);
        EXPECT_EQ(submit(0, "j-0", {{"Pieces", machines}, {"Vcpus", 20}})->status, 201);
        run_until([&] { return workers.executing_task_count() == machines_; });
        EXPECT_EQ(submit(0, watched_job)->status, 201);
        run_until([&] { return workers.has_live_task_of(watched_job); });
        first_machine_ = workers.machine_with_task_of(watched_job).id;
        run_until([&] { return workers.executing_task_count() == machines_ + 1; });
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
                    return workers.has_live_task_of(watched_job) && !first_machine().has_task_of(watched_job);
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

    // Returns the tasks of the watched job that execute now.
    [[nodiscard]] std::size_t executing_watched_tasks() const {
        std::size_t tasks = 0;
        for (const auto& [id, machine] : workers.machines)
            for (const auto& task : machine.tasks) tasks += task.id.job == watched_job && task.is_executing();
        return tasks;
    }
    // Returns how many copies of the watched job's start a worker has carried out.
    [[nodiscard]] int copies_carried_out() const { return copies_carried_out_; }

   private:
    static constexpr double duplicate_heartbeat_delay_s = 5;
    static constexpr double checkpoint_s = 0.2;
    static constexpr double process_restart_s = 0.4;
    static constexpr double copy_interval_s = 0.05;
    static constexpr double max_wait_s = 60;

    SimulatedMachine& first_machine() { return workers.machines.at(first_machine_); }

    // The leader stops the watched task and starts it elsewhere, if there is room.
    void give_notice() {
        note("notice    for " + first_machine_);
        first_machine().interruption_notice_s = 300;
        first_machine().has_unreported_change = true;
    }

    // Runs, with copies, until the condition holds.
    void run_until(const std::function<bool()>& condition) {
        for (const double deadline = now() + max_wait_s; !condition() && now() < deadline;) {
            deliver_copies();
            run(copy_interval_s);
        }
        EXPECT_TRUE(condition());
    }

    // A copy must start nothing: neither a task that the worker still has nor one that it has forgotten.
    void deliver_copies() {
        const auto messages = workers.carried_out;
        const int starts_before = workers.starts;
        for (const auto& message : messages)
            if (message.starts_task_of(watched_job)) copies_carried_out_ += workers.deliver_copy(message);
        EXPECT_EQ(workers.starts, starts_before) << "a copied command has started a task";
    }

    const std::size_t machines_;
    std::string first_machine_;
    int copies_carried_out_ = 0;
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
// that has forgotten an attempt carries out a copy of its start command. So a start must never travel in a
// message that may be repeated late, and no attempt may be forgotten while its start may still be repeated.
TEST_P(CopiedStartCommand, StartsNothing) {
    const auto& [name, trace_name, history, disturbance] = GetParam();
    const auto options = disturbance == Disturbance::upgrade ? earlier_version() : ClusterOptions();
    CopiedCommandsCluster cluster(trace_name, options, history == TaskHistory::moved ? 2 : 1);
    cluster.reach(history);
    cluster.run_with_copies(0.5);
    cluster.apply(disturbance);
    cluster.run_with_copies(25);
    EXPECT_GT(cluster.copies_carried_out(), 0);
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
    EXPECT_LE(cluster.executing_watched_tasks(), 1U);
    const bool may_run = history != TaskHistory::cancelled;
    EXPECT_TRUE(may_run || !cluster.workers.has_live_task_of(watched_job));
}

INSTANTIATE_TEST_SUITE_P(After, CopiedStartCommand, ::testing::ValuesIn(copied_command_cases()),
                         case_name<CopiedCommandCase>);

}  // namespace
}  // namespace pineroad::test
