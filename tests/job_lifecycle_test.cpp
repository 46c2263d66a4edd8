// From submission to the final record: what is written before it is acted on.
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A job array from provisioning to its final record, without a fault.
TEST(JobLifecycle, ArrayRunsToCompletion) {
    StartedLeader w("quiet_array");
    w.submit(array_job("j-1", 2));
    w.decide();
    EXPECT_EQ(w.rent().size(), 1U);
    w.commit();
    w.pass(45);
    w.meet("m-1");
    w.run_placed_tasks("m-1");
    w.pass(60);
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.set("j-1/1", TaskState::exited, ExitCause::done);
    w.checkin("m-1");
    EXPECT_EQ(w.status("j-1"), "accepted");  // not done before it is written
    w.commit();
    EXPECT_EQ(w.status("j-1"), "done");
    w.checkin("m-1");
    EXPECT_TRUE(w.workers.at("m-1").tasks.empty());
}

// Guards the order write, then act: a start in an answer before its placement is durable could run twice
// after a failover whose leader never read of it.
TEST(JobLifecycle, StartWaitsForItsCommit) {
    StartedLeader w("start_waits_for_commit", {"m-1"});
    w.submit(array_job("j-1", 1));
    w.plan();
    EXPECT_TRUE(w.checkin("m-1").empty());
    w.commit();
    EXPECT_EQ(w.checkin("m-1").size(), 1U);
}

// Reaping erases the only other record of a completion: it waits until the store holds it.
TEST(JobLifecycle, CompletionIsDurableBeforeReap) {
    StartedLeader w("done_before_reap", {"m-1"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    EXPECT_TRUE(w.checkin("m-1").empty());
    w.lead();  // the leader is gone before it could write: the next one finds the task ended
    w.meet("m-1");
    w.commit();
    EXPECT_EQ(w.status("j-1"), "done");
}

}  // namespace
}  // namespace pineroad::test
