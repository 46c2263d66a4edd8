// Heartbeats out of order, lost, copied or sent under an older fencing token, and what each proves.
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A heartbeat that does not show the new fencing token proves no absence: the old leader's start may
// still be on its way.
TEST(Heartbeat, AbsenceUnderAnOlderTokenProvesNothing) {
    StartedLeader w("absence_under_old_token", {"m-1"});
    w.worker("m-2");
    w.submit(array_job("j-1", 1));
    w.decide();
    const auto late = w.book().orders_for("m-1", true, w.now);  // the answer is slow on its way
    w.lead();
    w.checkin("m-2");
    w.checkin("m-2");
    auto& m1 = w.workers.at("m-1");
    const auto report = w.report(m1);  // sent before the worker heard of the new term
    w.note("report  m-1 without tasks, under the old token");
    w.book().absorb(report, w.now);
    w.decide();
    EXPECT_TRUE(w.checkin("m-2").empty());
    w.note("answer  of the old term reaches m-1 at last");
    w.execute(m1, late, 1);
    w.meet("m-1");
    EXPECT_EQ(w.starts, 1);
}

// Guards the order by (agent epoch, sequence number): an older heartbeat that arrives late must not undo
// what a newer one showed.
TEST(Heartbeat, StaleHeartbeatIsIgnored) {
    StartedLeader w("stale_report", {"m-1"});
    const auto early = w.report(w.workers.at("m-1"));
    w.run_job(array_job("j-1", 1), "m-1");
    w.note("report  of before the start arrives late");
    EXPECT_FALSE(w.book().absorb(early, w.now));
    w.plan();
    EXPECT_FALSE(w.book().dirty());  // an older empty report does not lose the task
}

// A command whose answer was lost is sent again with the next heartbeat, and starts its task once.
TEST(Heartbeat, LostAnswerIsSentAgain) {
    StartedLeader w("lost_answer", {"m-1"});
    w.submit(array_job("j-1", 1));
    w.decide();
    w.checkin("m-1", true);
    w.pass(4);
    EXPECT_EQ(w.checkin("m-1").size(), 1U);
    EXPECT_EQ(w.starts, 1);
}

// A new agent epoch proves that the tasks of the earlier one have ended: they are placed again.
TEST(Heartbeat, NewAgentEpochFreesTasks) {
    StartedLeader w("lost_session", {"m-1"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.lose_session("m-1");
    w.checkin("m-1");
    w.decide();
    EXPECT_EQ(w.checkin("m-1").size(), 1U);
    EXPECT_EQ(w.starts, 2);
}

// A task that no placement knows is stopped and then reaped.
TEST(Heartbeat, UnknownTasksAreStopped) {
    World w("strays");
    w.specs["j-9"] = array_job("j-9", 1);
    w.lead();
    auto& m = w.worker("m-1");
    m.tasks.push_back({{"j-9", 0}, 3, TaskState::running, ExitCause::none, false});
    w.meet("m-1");
    EXPECT_EQ(m.tasks[0].state, TaskState::exited);
    w.checkin("m-1");
    EXPECT_TRUE(m.tasks.empty());
}

// Copies of a heartbeat, seconds or minutes late, keep no machine alive, and acknowledge no command.
TEST(Heartbeat, LateCopiesKeepNoMachineAlive) {
    StartedLeader w("late_copies", {"m-1", "m-2"});
    w.run_job(array_job("j-1", 1), "m-1");
    const auto copy = w.report(w.workers.at("m-1"));
    w.book().absorb(copy, w.now);
    w.note("        m-1 stops with all that is on it");
    for (int i = 0; i < 6; ++i) {
        w.pass(3);
        w.checkin("m-2");
        EXPECT_FALSE(w.book().absorb(copy, w.now));
        w.note("copy    of m-1's last report");
        w.plan();
    }
    EXPECT_EQ(w.book().next_releases(w.now), std::vector<std::string>{"m-1"});
    w.release();
    w.commit();
    w.pass(120);
    w.note("copy    of m-1's last report, long after its lease");
    EXPECT_FALSE(w.book().absorb(copy, w.now));
    EXPECT_FALSE(w.book().machines().contains("m-1"));
    w.lead();
    w.note("copy    in a later term, under the old token");
    w.book().absorb(copy, w.now);
    EXPECT_TRUE(w.book().orders_for("m-1", true, w.now).empty());
    w.submit(array_job("j-2", 1));
    w.decide();
    EXPECT_TRUE(w.book().machines().at("m-1").tasks.empty());  // it gets nothing
}

// A heartbeat's answer waits for work where there is room for the smallest task that came lately, beside
// others too: a stage of a pipeline started up to a heartbeat period late on machines in use.
TEST(Heartbeat, AnswerWaitsWhereThereIsRoom) {
    StartedLeader w("answers_wait_for_room", {"m-1"});
    w.submit(array_job("j-1", 1));
    w.decide("m-1");
    EXPECT_FALSE(w.book().has_room("m-1", w.now));  // nothing came lately that would fit
    sched::ClassDemand demand;
    demand.sample = array_job("j-2", 1);
    w.book().plan(w.now, w.wall_ms(), {{"small", demand}});
    EXPECT_TRUE(w.book().has_room("m-1", w.now));
    demand.sample.need.cpus = 31;
    w.book().plan(w.now, w.wall_ms(), {{"large", demand}});
    EXPECT_FALSE(w.book().has_room("m-1", w.now));
}

}  // namespace
}  // namespace pineroad::test
