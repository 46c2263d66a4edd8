// The life of a job from submission to its final record: state is durable before the leader acts on it.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A job array from provisioning to its final record, without a fault.
TEST(JobLifecycle, ArrayRunsToCompletion) {
    StartedLeader simulator("quiet_array");
    simulator.submit(array_job("j-1", 2));
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.provision_machines().size(), 1U);
    simulator.commit_all();
    simulator.advance(45);
    simulator.synchronize_worker("m-1");
    simulator.run_placed_tasks("m-1");
    simulator.advance(60);
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.set_task_state("j-1/1", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat("m-1");
    EXPECT_EQ(simulator.job_status("j-1"), "accepted");  // not done before its final record is written
    simulator.commit_all();
    EXPECT_EQ(simulator.job_status("j-1"), "done");
    simulator.send_heartbeat("m-1");
    EXPECT_TRUE(simulator.workers.at("m-1").tasks.empty());
}

// Guards against a start that is sent before its placement is durable: after a failover, the new leader would
// not find the placement in the store and would start the task a second time.
TEST(JobLifecycle, StartWaitsForItsCommit) {
    StartedLeader simulator("start_waits_for_commit", {"m-1"});
    simulator.submit(array_job("j-1", 1));
    simulator.plan();
    EXPECT_TRUE(simulator.send_heartbeat("m-1").empty());
    simulator.commit_all();
    EXPECT_EQ(simulator.send_heartbeat("m-1").size(), 1U);
}

// Reaping a task deletes the worker's record of its completion, so it must wait until the store holds the
// completion.
TEST(JobLifecycle, CompletionIsDurableBeforeReap) {
    StartedLeader simulator("done_before_reap", {"m-1"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    EXPECT_TRUE(simulator.send_heartbeat("m-1").empty());
    simulator.begin_term();  // the leader ended before it could write; the next one finds the exited task
    simulator.synchronize_worker("m-1");
    simulator.commit_all();
    EXPECT_EQ(simulator.job_status("j-1"), "done");
}

// Guards against a job that is called done before its tasks are: a worker reported tasks with indexes that
// the job does not have, and they counted as its tasks. A record of an earlier leader may hold such indexes
// too.
TEST(JobLifecycle, TasksThatTheJobDoesNotHaveDoNotCompleteIt) {
    StartedLeader simulator("tasks_beyond_the_job", {"m-1"});
    simulator.submit(array_job("j-1", 2));
    simulator.commit_all();
    for (const std::uint32_t index : {2U, 99999U})
        simulator.workers.at("m-1").tasks.push_back(
            {{"j-1", index}, 1, TaskState::exited, ExitCause::done, false});
    simulator.send_heartbeat("m-1");
    simulator.commit_all();
    EXPECT_EQ(simulator.job_status("j-1"), "accepted");
    model::Progress progress;
    progress.done += 2U;
    progress.done += 99999U;
    progress.team = "team";
    progress.task_resources = array_job("j-1", 2).task_resources;
    simulator.store.put(wire::records::progress_key("j-1"), wire::records::progress_json(progress));
    simulator.begin_term();
    simulator.synchronize_worker("m-1");
    simulator.commit_all();
    EXPECT_EQ(simulator.job_status("j-1"), "accepted");
}

}  // namespace
}  // namespace pineroad::test
