// Gang scheduling: all tasks of an attempt are placed, started, stopped and restarted together.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// Submits the gang, places it on the machines and starts it there.
void start_gang(LeaderSimulator& simulator, const model::JobSpec& spec,
                const std::vector<std::string>& machines) {
    simulator.submit(spec);
    simulator.plan_and_commit();
    simulator.send_heartbeats(machines);
}

// Sets the state of both tasks of the gang j-1; the next heartbeats of its machines report it.
void set_both_tasks(LeaderSimulator& simulator, TaskState state, ExitCause cause = ExitCause::none) {
    simulator.set_task_state("j-1/0", state, cause);
    simulator.set_task_state("j-1/1", state, cause);
}

// A gang waits until there is capacity for all its tasks, and then starts on all machines.
TEST(Gang, IsPlacedWholeOrNotAtAll) {
    StartedLeader simulator("gang_whole", {"m-1"});
    simulator.submit(gang_job("j-1", 2));
    simulator.plan_and_commit();
    EXPECT_TRUE(simulator.send_heartbeat("m-1").empty());
    simulator.add_ready_workers({"m-2"});
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.send_heartbeat("m-1").size(), 1U);
    EXPECT_EQ(simulator.send_heartbeat("m-2").size(), 1U);
}

// A task that is lost before the gang runs is replaced within the same attempt, so that the tasks that wait
// for the gang can start together with the replacement.
TEST(Gang, ReplacesALostWaitingTask) {
    StartedLeader simulator("gang_replacement", {"m-1", "m-2", "m-3"});
    start_gang(simulator, gang_job("j-1", 2), {"m-1", "m-2", "m-3"});
    simulator.set_task_state("j-1/0", TaskState::waiting_for_gang);
    std::string lost_machine;
    for (auto& [id, worker] : simulator.workers)
        if (!worker.tasks.empty() && worker.tasks[0].task.index == 1) lost_machine = id;
    simulator.expire_worker_lease(lost_machine);
    simulator.send_heartbeats({"m-1", "m-2", "m-3"});
    simulator.plan_and_commit();
    simulator.send_heartbeats({"m-1", "m-2", "m-3"});
    std::set<std::uint64_t> attempts;
    int tasks = 0;
    for (auto& [id, worker] : simulator.workers)
        for (auto& task : worker.tasks) attempts.insert(task.attempt), ++tasks;
    EXPECT_EQ(tasks, 2);
    EXPECT_EQ(attempts.size(), 1U);  // the replacement joins the attempt of the waiting task
}

// A running gang that lost a task starts a new attempt only when the last task of the old attempt has left
// its machine.
TEST(Gang, RestartsOnlyAfterTheLastTaskEnded) {
    StartedLeader simulator("gang_lost_task", {"m-1", "m-2"});
    start_gang(simulator, gang_job("j-1", 2), {"m-1", "m-2"});
    set_both_tasks(simulator, TaskState::running);
    simulator.send_heartbeats({"m-1", "m-2"});
    simulator.advance(5);  // the workers no longer accept the responses with the starts
    simulator.add_ready_workers({"m-3"});
    simulator.expire_worker_lease("m-2");
    simulator.send_heartbeat("m-2");
    simulator.plan_and_commit();
    EXPECT_TRUE(simulator.send_heartbeat("m-2").empty());  // the other task still runs
    EXPECT_TRUE(simulator.send_heartbeat("m-3").empty());
    simulator.deliver_direct_commands();
    simulator.send_heartbeat("m-1");
    simulator.plan_and_commit();
    std::set<std::uint64_t> attempts;
    simulator.send_heartbeats({"m-1", "m-2", "m-3"});
    for (auto& [id, worker] : simulator.workers)
        for (auto& task : worker.tasks)
            if (task.state != TaskState::exited) attempts.insert(task.attempt);
    EXPECT_EQ(attempts, std::set<std::uint64_t>{2});
    EXPECT_EQ(simulator.starts, 4);
}

// Preemption stops all tasks of the victim by direct commands at the same time and leaves them time to write
// their checkpoints.
TEST(Gang, PreemptionStopsAllTasksAtOnce) {
    LeaderSimulator simulator("preemption");
    simulator.tuning.preemption_period_s = 1;
    simulator.begin_term();
    simulator.add_ready_workers({"m-1", "m-2"});
    auto victim = gang_job("j-1", 2);
    victim.estimate_s = 600;
    start_gang(simulator, victim, {"m-1", "m-2"});
    set_both_tasks(simulator, TaskState::running);
    simulator.send_heartbeats({"m-1", "m-2"});
    auto preemptor = gang_job("j-2", 1);
    preemptor.priority = model::Priority::high;
    preemptor.estimate_s = 10;
    simulator.submit(preemptor);
    simulator.advance(8);
    simulator.send_heartbeats({"m-1", "m-2"});
    simulator.plan();
    simulator.deliver_direct_commands();
    EXPECT_EQ(simulator.workers.at("m-1").tasks[0].state, TaskState::running)
        << "xfactor 1.8 is below the preemption factor";
    simulator.advance(4);
    simulator.send_heartbeats({"m-1", "m-2"});
    simulator.plan();
    simulator.deliver_direct_commands();
    EXPECT_EQ(simulator.workers.at("m-1").tasks[0].state, TaskState::checkpointing);
    EXPECT_EQ(simulator.workers.at("m-2").tasks[0].state, TaskState::checkpointing);
}

// The wait time of a gang that lost a task counts from its last run. If it counted from the submission, the
// widest gang would reserve machines at once after many losses, ahead of all jobs submitted since.
TEST(Gang, WaitTimeCountsFromLastRun) {
    StartedLeader simulator("waits_from_its_last_run", {"m-1", "m-2", "m-3"});
    start_gang(simulator, gang_job("j-1", 2), {"m-1", "m-2", "m-3"});
    set_both_tasks(simulator, TaskState::running);
    simulator.advance(200);
    simulator.send_heartbeats({"m-1", "m-2", "m-3"});
    set_both_tasks(simulator, TaskState::exited, ExitCause::gang_member_lost);
    simulator.send_heartbeats({"m-1", "m-2", "m-3"});
    simulator.note("          m-2 and m-3 are partitioned");
    simulator.submit(gang_job("j-2", 1));
    simulator.advance(25);
    simulator.send_heartbeat("m-1");
    simulator.plan_and_commit();
    const auto commands = simulator.send_heartbeat("m-1");
    EXPECT_TRUE(std::any_of(commands.begin(), commands.end(),
                            [](const auto& command) { return command.task.job == "j-2"; }));
}

}  // namespace
}  // namespace pineroad::test
