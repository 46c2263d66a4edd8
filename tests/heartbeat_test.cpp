// Heartbeats that are out of order, lost, duplicated or sent under an older fencing token, and what each of
// them proves.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A heartbeat under an older fencing token does not prove that a task is absent: the old leader's start
// command may still be in transit.
TEST(Heartbeat, TaskMissingUnderOlderTokenIsNotRestarted) {
    StartedLeader simulator("absence_under_old_token", {"m-1"});
    simulator.add_worker("m-2");
    simulator.submit(array_job("j-1", 1));
    simulator.plan_and_commit();
    const auto late_commands =
        simulator.leader_state().commands_for("m-1", true, simulator.now);  // the response is delayed
    simulator.begin_term();
    simulator.send_heartbeat("m-2");
    simulator.send_heartbeat("m-2");
    auto& m1 = simulator.workers.at("m-1");
    const auto heartbeat = simulator.next_heartbeat(m1);  // sent before the worker learned of the new term
    simulator.note("heartbeat m-1 without tasks, under the old fencing token");
    simulator.leader_state().apply_heartbeat(heartbeat, simulator.now);
    simulator.plan_and_commit();
    EXPECT_TRUE(simulator.send_heartbeat("m-2").empty());
    simulator.note("response  of the old term reaches m-1 late");
    simulator.execute(m1, late_commands, 1);
    simulator.synchronize_worker("m-1");
    EXPECT_EQ(simulator.starts, 1);
}

// Heartbeats are ordered by (agent epoch, sequence number): an older one that arrives late must not undo what
// a newer one reported.
TEST(Heartbeat, StaleHeartbeatIsIgnored) {
    StartedLeader simulator("stale_heartbeat", {"m-1"});
    const auto stale_heartbeat = simulator.next_heartbeat(simulator.workers.at("m-1"));
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.note("heartbeat from before the start arrives late");
    EXPECT_FALSE(simulator.leader_state().apply_heartbeat(stale_heartbeat, simulator.now));
    simulator.plan();
    EXPECT_FALSE(
        simulator.leader_state().write_due());  // an older empty heartbeat does not mark the task lost
}

// A command whose response was lost is sent again in response to the next heartbeat, and its task starts
// once.
TEST(Heartbeat, CommandIsResentAfterLostResponse) {
    StartedLeader simulator("lost_answer", {"m-1"});
    simulator.submit(array_job("j-1", 1));
    simulator.plan_and_commit();
    simulator.send_heartbeat("m-1", true);
    simulator.advance(4);
    EXPECT_EQ(simulator.send_heartbeat("m-1").size(), 1U);
    EXPECT_EQ(simulator.starts, 1);
}

// A new agent epoch proves that the tasks of the earlier epoch have ended, so they are placed again.
TEST(Heartbeat, NewAgentEpochRestartsTasks) {
    StartedLeader simulator("new_agent_epoch", {"m-1"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.expire_worker_lease("m-1");
    simulator.send_heartbeat("m-1");
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.send_heartbeat("m-1").size(), 1U);
    EXPECT_EQ(simulator.starts, 2);
}

// A reported task that has no placement is stopped and then reaped.
TEST(Heartbeat, UnknownTasksAreStopped) {
    LeaderSimulator simulator("unknown_tasks");
    simulator.specs["j-9"] = array_job("j-9", 1);
    simulator.begin_term();
    auto& m = simulator.add_worker("m-1");
    m.tasks.push_back({{"j-9", 0}, 3, TaskState::running, ExitCause::none, false});
    simulator.synchronize_worker("m-1");
    EXPECT_EQ(m.tasks[0].state, TaskState::exited);
    simulator.send_heartbeat("m-1");
    EXPECT_TRUE(m.tasks.empty());
}

// Duplicates of a heartbeat that arrive seconds or minutes late neither keep a machine alive nor acknowledge
// commands.
TEST(Heartbeat, LateDuplicatesDoNotKeepMachineAlive) {
    StartedLeader simulator("late_copies", {"m-1", "m-2"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    const auto duplicate = simulator.next_heartbeat(simulator.workers.at("m-1"));
    simulator.leader_state().apply_heartbeat(duplicate, simulator.now);
    simulator.note("          m-1 stops with all its tasks");
    for (int i = 0; i < 6; ++i) {
        simulator.advance(3);
        simulator.send_heartbeat("m-2");
        EXPECT_FALSE(simulator.leader_state().apply_heartbeat(duplicate, simulator.now));
        simulator.note("duplicate of m-1's last heartbeat");
        simulator.plan();
    }
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now), std::vector<std::string>{"m-1"});
    simulator.release_machines();
    simulator.commit_all();
    simulator.advance(120);
    simulator.note("duplicate of m-1's last heartbeat, long after its lease expired");
    EXPECT_FALSE(simulator.leader_state().apply_heartbeat(duplicate, simulator.now));
    EXPECT_FALSE(simulator.leader_state().machines().contains("m-1"));
    simulator.begin_term();
    simulator.note("duplicate in a later term, under the old fencing token");
    simulator.leader_state().apply_heartbeat(duplicate, simulator.now);
    EXPECT_TRUE(simulator.leader_state().commands_for("m-1", true, simulator.now).empty());
    simulator.submit(array_job("j-2", 1));
    simulator.plan_and_commit();
    EXPECT_TRUE(simulator.leader_state().machines().at("m-1").tasks.empty());  // no task is placed on it
}

// The response to a heartbeat is held for new tasks while the machine has free capacity for the smallest task
// submitted recently, also beside running tasks. Without this, a stage of a pipeline started up to a
// heartbeat period late on machines in use.
TEST(Heartbeat, ResponseIsHeldOnlyWhileMachineHasFreeCapacity) {
    StartedLeader simulator("answers_wait_for_room", {"m-1"});
    simulator.submit(array_job("j-1", 1));
    simulator.plan_and_commit("m-1");
    EXPECT_FALSE(simulator.leader_state().has_free_capacity(
        "m-1", simulator.now));  // no task that fits was submitted recently
    scheduling::ClassDemand demand;
    demand.sample_job = array_job("j-2", 1);
    simulator.leader_state().plan(simulator.now, simulator.wall_ms(), {{"small", demand}});
    EXPECT_TRUE(simulator.leader_state().has_free_capacity("m-1", simulator.now));
    demand.sample_job.task_resources.cpus = 31;
    simulator.leader_state().plan(simulator.now, simulator.wall_ms(), {{"large", demand}});
    EXPECT_FALSE(simulator.leader_state().has_free_capacity("m-1", simulator.now));
}

}  // namespace
}  // namespace pineroad::test
