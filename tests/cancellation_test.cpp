// Cancellations that race with starts, failovers and the end of a job.
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A start that left before the cancellation is executed: the next answer has to stop it.
TEST(Cancellation, StopsATaskWhoseStartIsInFlight) {
    StartedLeader w("cancel_in_flight", {"m-1"});
    w.submit(array_job("j-1", 1));
    w.decide();
    auto& m = w.workers.at("m-1");
    w.book().absorb(w.report(m), w.now);
    const auto start = w.book().orders_for("m-1", true, w.now);
    w.cancel("j-1");
    w.note("answer  m-1: the start, given before the cancellation");
    w.execute(m, start, w.book().token());
    const auto orders = w.checkin("m-1");
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].op, model::Order::Op::stop);
    w.checkin("m-1");
    w.commit();
    EXPECT_FALSE(w.book().jobs().contains("j-1"));
    w.checkin("m-1");
    EXPECT_TRUE(m.tasks.empty());
}

// A new leader finds progress without a job: the user cancelled, and the tasks have to be stopped.
TEST(Cancellation, HoldsAcrossAFailover) {
    StartedLeader w("cancel_during_takeover", {"m-1"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.cancel("j-1", false);
    w.lead();
    w.meet("m-1");
    w.checkin("m-1");
    w.commit();
    w.checkin("m-1");
    EXPECT_TRUE(w.workers.at("m-1").tasks.empty());
    EXPECT_FALSE(w.book().jobs().contains("j-1"));
}

// Completion and cancellation race on one condition: whichever commits first wins, and the answer given
// stands.
TEST(Cancellation, CommittedBeforeCompletionWins) {
    StartedLeader w("cancel_beats_done", {"m-1"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.checkin("m-1");
    w.cancel("j-1", false);
    EXPECT_FALSE(w.commit());
    EXPECT_EQ(w.status("j-1"), "withdrawn");
    w.book().job_cancelled("j-1", w.now);
    w.commit();
    EXPECT_EQ(w.status("j-1"), "withdrawn");
}

}  // namespace
}  // namespace pineroad::test
