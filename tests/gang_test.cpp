// Gang scheduling: all tasks of an attempt together, on every path.
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// A gang that is placed on the machines and started there.
void start_gang(World& w, const model::JobSpec& spec, const std::vector<std::string>& machines) {
    w.submit(spec);
    w.decide();
    w.checkin_all(machines);
}

// Both tasks of the gang j-1, which its machines have not reported yet.
void set_both_tasks(World& w, TaskState state, ExitCause cause = ExitCause::none) {
    w.set("j-1/0", state, cause);
    w.set("j-1/1", state, cause);
}

// A gang waits until all its tasks have room, and then starts on every machine.
TEST(Gang, IsPlacedWholeOrNotAtAll) {
    StartedLeader w("gang_whole", {"m-1"});
    w.submit(gang_job("j-1", 2));
    w.decide();
    EXPECT_TRUE(w.checkin("m-1").empty());
    w.add_ready_workers({"m-2"});
    w.decide();
    EXPECT_EQ(w.checkin("m-1").size(), 1U);
    EXPECT_EQ(w.checkin("m-2").size(), 1U);
}

// A task lost before the gang runs is replaced within the same attempt, so that the waiting ones complete
// with it.
TEST(Gang, ReplacesALostWaitingTask) {
    StartedLeader w("gang_replacement", {"m-1", "m-2", "m-3"});
    start_gang(w, gang_job("j-1", 2), {"m-1", "m-2", "m-3"});
    w.set("j-1/0", TaskState::waiting);
    std::string lost;
    for (auto& [id, worker] : w.workers)
        if (!worker.tasks.empty() && worker.tasks[0].task.index == 1) lost = id;
    w.lose_session(lost);
    w.checkin_all({"m-1", "m-2", "m-3"});
    w.decide();
    w.checkin_all({"m-1", "m-2", "m-3"});
    std::set<std::uint64_t> attempts;
    int tasks = 0;
    for (auto& [id, worker] : w.workers)
        for (auto& t : worker.tasks) attempts.insert(t.attempt), ++tasks;
    EXPECT_EQ(tasks, 2);
    EXPECT_EQ(attempts.size(), 1U);  // the same attempt: the waiting task completes with it
}

// A running gang that lost a task starts a new attempt only when the last task of the old attempt is off
// its machine.
TEST(Gang, RestartsOnlyAfterTheLastTaskEnded) {
    StartedLeader w("gang_lost_member", {"m-1", "m-2"});
    start_gang(w, gang_job("j-1", 2), {"m-1", "m-2"});
    set_both_tasks(w, TaskState::running);
    w.checkin_all({"m-1", "m-2"});
    w.add_ready_workers({"m-3"});
    w.lose_session("m-2");
    w.checkin("m-2");
    w.decide();
    EXPECT_TRUE(w.checkin("m-2").empty());  // the other task is still there
    EXPECT_TRUE(w.checkin("m-3").empty());
    w.direct();
    w.checkin("m-1");
    w.decide();
    std::set<std::uint64_t> attempts;
    w.checkin_all({"m-1", "m-2", "m-3"});
    for (auto& [id, worker] : w.workers)
        for (auto& t : worker.tasks)
            if (t.state != TaskState::exited) attempts.insert(t.attempt);
    EXPECT_EQ(attempts, std::set<std::uint64_t>{2});
    EXPECT_EQ(w.starts, 4);
}

// Orderly stop: every task gets a direct command in the same moment, with time to write its checkpoint.
TEST(Gang, PreemptionStopsAllTasksAtOnce) {
    World w("suspension");
    w.tuning.suspension_period_s = 1;
    w.lead();
    w.add_ready_workers({"m-1", "m-2"});
    auto victim = gang_job("j-1", 2);
    victim.estimate_s = 600;
    start_gang(w, victim, {"m-1", "m-2"});
    set_both_tasks(w, TaskState::running);
    w.checkin_all({"m-1", "m-2"});
    auto waiter = gang_job("j-2", 1);
    waiter.priority = model::Priority::high;
    waiter.estimate_s = 10;
    w.submit(waiter);
    w.pass(8);
    w.checkin_all({"m-1", "m-2"});
    w.plan();
    w.direct();
    EXPECT_EQ(w.workers.at("m-1").tasks[0].state, TaskState::running) << "xfactor 1.8: below the factor";
    w.pass(4);
    w.checkin_all({"m-1", "m-2"});
    w.plan();
    w.direct();
    EXPECT_EQ(w.workers.at("m-1").tasks[0].state, TaskState::saving);
    EXPECT_EQ(w.workers.at("m-2").tasks[0].state, TaskState::saving);
}

// A gang that lost a task after running for long has waited a moment only: after many losses at once the
// widest would reserve machines at once, before all that came meanwhile.
TEST(Gang, WaitCountsFromItsLastRun) {
    StartedLeader w("waits_from_its_last_run", {"m-1", "m-2", "m-3"});
    start_gang(w, gang_job("j-1", 2), {"m-1", "m-2", "m-3"});
    set_both_tasks(w, TaskState::running);
    w.pass(200);
    w.checkin_all({"m-1", "m-2", "m-3"});
    set_both_tasks(w, TaskState::exited, ExitCause::peers);
    w.checkin_all({"m-1", "m-2", "m-3"});
    w.note("        m-2 and m-3 are cut off");
    w.submit(gang_job("j-2", 1));
    w.pass(25);
    w.checkin("m-1");
    w.decide();
    const auto orders = w.checkin("m-1");
    EXPECT_TRUE(std::any_of(orders.begin(), orders.end(), [](const auto& o) { return o.task.job == "j-2"; }));
}

}  // namespace
}  // namespace pineroad::test
