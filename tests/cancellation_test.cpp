// Cancellations that race with starts, failovers and the end of a job.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A start that was sent before the cancellation is still executed; the next heartbeat response has to stop
// the task.
TEST(Cancellation, StopsATaskWhoseStartIsInFlight) {
    StartedLeader simulator("cancel_in_flight", {"m-1"});
    simulator.submit(array_job("j-1", 1));
    simulator.plan_and_commit();
    auto& worker = simulator.workers.at("m-1");
    simulator.leader_state().apply_heartbeat(simulator.next_heartbeat(worker), simulator.now);
    const auto start = simulator.leader_state().commands_for("m-1", true, simulator.now);
    simulator.cancel("j-1");
    simulator.note("response  m-1: the start command, issued before the cancellation");
    simulator.execute(worker, start, simulator.leader_state().fencing_token());
    const auto commands = simulator.send_heartbeat("m-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, model::Command::Kind::stop);
    simulator.send_heartbeat("m-1");
    simulator.commit_all();
    EXPECT_FALSE(simulator.leader_state().jobs().contains("j-1"));
    simulator.send_heartbeat("m-1");
    EXPECT_FALSE(worker.tasks.empty());  // a copy of the start may still arrive
    simulator.advance(5);
    simulator.send_heartbeat("m-1");
    EXPECT_TRUE(worker.tasks.empty());
}

// A new leader finds progress without a job record: the user cancelled the job, and its tasks have to be
// stopped.
TEST(Cancellation, HoldsAcrossAFailover) {
    StartedLeader simulator("cancel_during_failover", {"m-1"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.cancel("j-1", false);
    simulator.begin_term();
    simulator.synchronize_worker("m-1");
    simulator.send_heartbeat("m-1");
    simulator.commit_all();
    simulator.send_heartbeat("m-1");
    EXPECT_TRUE(simulator.workers.at("m-1").tasks.empty());
    EXPECT_FALSE(simulator.leader_state().jobs().contains("j-1"));
}

// Completion and cancellation are conditional on the same key: whichever commits first wins, and the status
// confirmed to the user stays.
TEST(Cancellation, CommittedBeforeCompletionWins) {
    StartedLeader simulator("cancel_beats_done", {"m-1"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat("m-1");
    simulator.cancel("j-1", false);
    EXPECT_FALSE(simulator.commit_all());
    EXPECT_EQ(simulator.job_status("j-1"), "withdrawn");
    simulator.leader_state().job_cancelled("j-1", simulator.now);
    simulator.commit_all();
    EXPECT_EQ(simulator.job_status("j-1"), "withdrawn");
}

}  // namespace
}  // namespace pineroad::test
