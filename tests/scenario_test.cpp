// One test a rule or failure. Each is a short story; its kept trace stands in traces/.
#include "leadership/lease_guard.hpp"
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;
namespace records = wire::records;

// A job placed on a heard machine, its start delivered and running.
void running(World& w, const std::string& machine) {
    w.decide(machine);
    for (auto& t : w.workers.at(machine).tasks)
        if (t.state == TaskState::fetching) t.state = TaskState::running;
    w.pass(0.5);
    w.handle_heartbeat(machine);
}

TEST(Scenario, QuietArray) {
    World w("quiet_array");
    w.lead();
    w.submit(array_job("j-1", 2));
    w.decide();
    EXPECT_EQ(w.rent().size(), 1U);
    w.commit();
    w.pass(45);
    w.meet("m-1");
    running(w, "m-1");
    w.pass(60);
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.set("j-1/1", TaskState::exited, ExitCause::done);
    w.handle_heartbeat("m-1");
    EXPECT_EQ(w.status("j-1"), "accepted");  // not done before it is written
    w.commit();
    EXPECT_EQ(w.status("j-1"), "done");
    w.handle_heartbeat("m-1");
    EXPECT_TRUE(w.workers.at("m-1").tasks.empty());
}

// Guards the order write, then act: a start in an answer before its placement is durable could run twice
// after a takeover that never read of it.
TEST(Scenario, StartWaitsForItsCommit) {
    World w("start_waits_for_commit");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.plan();
    EXPECT_TRUE(w.handle_heartbeat("m-1").empty());
    w.commit();
    EXPECT_EQ(w.handle_heartbeat("m-1").size(), 1U);
}

// Reap erases the only other record of a completion: it waits until the state service holds it.
TEST(Scenario, DoneBeforeReap) {
    World w("done_before_reap");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    EXPECT_TRUE(w.handle_heartbeat("m-1").empty());
    w.lead();  // the leader is gone before it could write: the next one finds the task ended
    w.meet("m-1");
    w.commit();
    EXPECT_EQ(w.status("j-1"), "done");
}

// Unknown means still there: the machine of an earlier term's placement is not heard, so its task waits for
// proof.
TEST(Scenario, TakeoverLeavesUnknownTasksAlone) {
    World w("takeover_unknown");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.note("        m-1 is cut off; its task runs on");
    w.lead();
    w.meet("m-2");
    for (int i = 0; i < 4; ++i) {
        w.pass(3);
        w.decide();
        EXPECT_TRUE(w.handle_heartbeat("m-2").empty());
    }
    w.pass(10);
    w.handle_heartbeat("m-2");
    w.plan();  // silent for long, while m-2 is heard
    w.release();
    w.decide();
    EXPECT_EQ(w.handle_heartbeat("m-2").size(), 1U);
    EXPECT_EQ(w.starts, 2);
}

// A report that does not show the new token proves no absence: the old leader's start may still be on its
// way.
TEST(Scenario, AbsenceUnderAnOldTokenProvesNothing) {
    World w("absence_under_old_token");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.decide();
    const auto late = w.cluster_state().commands_for("m-1", true, w.now);  // the answer is slow on its way
    w.lead();
    w.handle_heartbeat("m-2");
    w.handle_heartbeat("m-2");
    auto& m1 = w.workers.at("m-1");
    const auto report = w.report(m1);  // sent before the worker heard of the new term
    w.note("report  m-1 without tasks, under the old token");
    w.cluster_state().apply_heartbeat(report, w.now);
    w.decide();
    EXPECT_TRUE(w.handle_heartbeat("m-2").empty());
    w.note("answer  of the old term reaches m-1 at last");
    w.execute(m1, late, 1);
    w.meet("m-1");
    EXPECT_EQ(w.starts, 1);
}

TEST(Scenario, StaleReportsTeachNothing) {
    World w("stale_report");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    const auto tasks_under_older_token = w.report(w.workers.at("m-1"));
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.note("report  of before the start arrives late");
    EXPECT_FALSE(w.cluster_state().apply_heartbeat(tasks_under_older_token, w.now));
    w.plan();
    EXPECT_FALSE(w.cluster_state().write_due());  // an older empty report does not lose the task
}

TEST(Scenario, LostAnswerIsRepeated) {
    World w("lost_answer");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.decide();
    w.handle_heartbeat("m-1", true);
    w.pass(4);
    EXPECT_EQ(w.handle_heartbeat("m-1").size(), 1U);
    EXPECT_EQ(w.starts, 1);
}

TEST(Scenario, LostSessionFreesItsTasks) {
    World w("lost_session");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.lose_session("m-1");
    w.handle_heartbeat("m-1");
    w.decide();
    EXPECT_EQ(w.handle_heartbeat("m-1").size(), 1U);
    EXPECT_EQ(w.starts, 2);
}

// The answer to a release proves a machine gone; a report held back on the way must not bring it back to
// life.
TEST(Scenario, ReleasedMachineStaysGone) {
    World w("released_stays_gone");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.meet("m-2");
    w.submit(gang_job("j-1", 1));
    running(w, "m-1");
    const auto held = w.report(w.workers.at("m-1"));
    for (int i = 0; i < 5; ++i) w.pass(3), w.handle_heartbeat("m-2");
    w.plan();
    w.release();
    w.note("report  of m-1, held back, arrives");
    EXPECT_FALSE(w.cluster_state().apply_heartbeat(held, w.now));
    w.decide();
    EXPECT_EQ(w.handle_heartbeat("m-2").size(), 1U);
}

TEST(Scenario, CancelWhileAStartIsInFlight) {
    World w("cancel_in_flight");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.decide();
    auto& m = w.workers.at("m-1");
    w.cluster_state().apply_heartbeat(w.report(m), w.now);
    const auto start = w.cluster_state().commands_for("m-1", true, w.now);
    w.cancel("j-1");
    w.note("answer  m-1: the start, given before the cancellation");
    w.execute(m, start, w.cluster_state().fencing_token());
    const auto commands = w.handle_heartbeat("m-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].kind, model::Command::Kind::stop);
    w.handle_heartbeat("m-1");
    w.commit();
    EXPECT_FALSE(w.cluster_state().jobs().contains("j-1"));
    w.handle_heartbeat("m-1");
    EXPECT_TRUE(m.tasks.empty());
}

// A new leader finds progress without a job: the user cancelled, and the tasks have to go.
TEST(Scenario, CancelDuringATakeover) {
    World w("cancel_during_takeover");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.cancel("j-1", false);
    w.lead();
    w.meet("m-1");
    w.handle_heartbeat("m-1");
    w.commit();
    w.handle_heartbeat("m-1");
    EXPECT_TRUE(w.workers.at("m-1").tasks.empty());
    EXPECT_FALSE(w.cluster_state().jobs().contains("j-1"));
}

// Done and cancel race on one condition: whoever commits first wins, and the answer given stands.
TEST(Scenario, CancelBeatsDone) {
    World w("cancel_beats_done");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.handle_heartbeat("m-1");
    w.cancel("j-1", false);
    EXPECT_FALSE(w.commit());
    EXPECT_EQ(w.status("j-1"), "withdrawn");
    w.cluster_state().job_cancelled("j-1", w.now);
    w.commit();
    EXPECT_EQ(w.status("j-1"), "withdrawn");
}

// Every write of a leader names the leadership key: applied late, after a newer term, it does nothing.
TEST(Scenario, LateCommitOfAnEarlierTerm) {
    World w("late_commit_old_term");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.plan();
    const auto late = w.take_write_batch();
    ASSERT_TRUE(late);
    w.lead();
    EXPECT_FALSE(w.state.commit(late->txn));
    w.note("commit  of term 1 arrives: refused");
    w.meet("m-1");
    running(w, "m-1");
    EXPECT_EQ(w.starts, 1);
}

// ... and every record names its own version: a second copy of a commit can't undo what came after it.
TEST(Scenario, LateCopyOfACommit) {
    World w("late_copy");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 2));
    w.plan();
    const auto batch = w.take_write_batch();
    ASSERT_TRUE(batch);
    w.apply(*batch);
    EXPECT_FALSE(w.state.commit(batch->txn));
    w.note("commit  the same again: refused");
}

TEST(Scenario, GangWholeOrNotAtAll) {
    World w("gang_whole");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(gang_job("j-1", 2));
    w.decide();
    EXPECT_TRUE(w.handle_heartbeat("m-1").empty());
    w.worker("m-2");
    w.meet("m-2");
    w.decide();
    EXPECT_EQ(w.handle_heartbeat("m-1").size(), 1U);
    EXPECT_EQ(w.handle_heartbeat("m-2").size(), 1U);
}

TEST(Scenario, GangReplacesALostWaitingMember) {
    World w("gang_replacement");
    w.lead();
    for (const auto* m : {"m-1", "m-2", "m-3"}) {
        w.worker(m);
        w.meet(m);
    }
    w.submit(gang_job("j-1", 2));
    w.decide();
    for (const auto* m : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(m);
    w.set("j-1/0", TaskState::waiting_for_gang);
    std::string lost;
    for (auto& [id, worker] : w.workers)
        if (!worker.tasks.empty() && worker.tasks[0].task.index == 1) lost = id;
    w.lose_session(lost);
    for (const auto* m : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(m);
    w.decide();
    for (const auto* m : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(m);
    std::set<std::uint64_t> attempts;
    int tasks = 0;
    for (auto& [id, worker] : w.workers)
        for (auto& t : worker.tasks) attempts.insert(t.attempt), ++tasks;
    EXPECT_EQ(tasks, 2);
    EXPECT_EQ(attempts.size(), 1U);  // the same attempt: the waiting member completes with it
}

// A running gang that lost a member starts anew only when the last of the old attempt is off its machine.
TEST(Scenario, GangLosesARunningMember) {
    World w("gang_lost_member");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.meet("m-2");
    w.submit(gang_job("j-1", 2));
    w.decide("m-1");
    w.handle_heartbeat("m-2");
    w.set("j-1/0", TaskState::running);
    w.set("j-1/1", TaskState::running);
    w.handle_heartbeat("m-1");
    w.handle_heartbeat("m-2");
    w.worker("m-3");
    w.meet("m-3");
    w.lose_session("m-2");
    w.handle_heartbeat("m-2");
    w.decide();
    EXPECT_TRUE(w.handle_heartbeat("m-2").empty());  // the other member is still there
    EXPECT_TRUE(w.handle_heartbeat("m-3").empty());
    w.direct();
    w.handle_heartbeat("m-1");
    w.decide();
    std::set<std::uint64_t> attempts;
    for (const auto* m : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(m);
    for (auto& [id, worker] : w.workers)
        for (auto& t : worker.tasks)
            if (t.state != TaskState::exited) attempts.insert(t.attempt);
    EXPECT_EQ(attempts, std::set<std::uint64_t>{2});
    EXPECT_EQ(w.starts, 4);
}

// Orderly stop: every member is told by /do in the same moment, with time to save.
TEST(Scenario, SuspensionStopsTheWholeGangAtOnce) {
    World w("suspension");
    w.tuning.preemption_period_s = 1;
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.meet("m-2");
    auto victim = gang_job("j-1", 2);
    victim.estimate_s = 600;
    w.submit(victim);
    w.decide("m-1");
    w.handle_heartbeat("m-2");
    w.set("j-1/0", TaskState::running);
    w.set("j-1/1", TaskState::running);
    w.handle_heartbeat("m-1");
    w.handle_heartbeat("m-2");
    auto waiter = gang_job("j-2", 1);
    waiter.priority = model::Priority::high;
    waiter.estimate_s = 10;
    w.submit(waiter);
    w.pass(8);
    w.handle_heartbeat("m-1");
    w.handle_heartbeat("m-2");
    w.plan();
    w.direct();
    EXPECT_EQ(w.workers.at("m-1").tasks[0].state, TaskState::running) << "xfactor 1.8: below the factor";
    w.pass(4);
    w.handle_heartbeat("m-1");
    w.handle_heartbeat("m-2");
    w.plan();
    w.direct();
    EXPECT_EQ(w.workers.at("m-1").tasks[0].state, TaskState::checkpointing);
    EXPECT_EQ(w.workers.at("m-2").tasks[0].state, TaskState::checkpointing);
}

TEST(Scenario, SpotNoticeSaves) {
    World w("spot_notice");
    w.lead();
    w.worker("m-1", "g4", "a", true);
    w.meet("m-1");
    auto job = array_job("j-1", 1);
    job.allows_spot = true;
    w.submit(job);
    running(w, "m-1");
    w.workers.at("m-1").interruption_notice_s = 8;
    w.handle_heartbeat("m-1");
    EXPECT_EQ(w.workers.at("m-1").tasks[0].state, TaskState::checkpointing);
    w.submit(array_job("j-2", 1));
    w.decide();
    EXPECT_EQ(w.starts, 1);  // nothing new on a machine about to go
}

// Two jobs failing on one machine speak against the machine ...
TEST(Scenario, FaultyMachineIsReturned) {
    World w("faulty_machine");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.submit(array_job("j-2", 1));
    running(w, "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::error);
    w.set("j-2/0", TaskState::exited, ExitCause::error);
    w.handle_heartbeat("m-1");
    w.plan();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now).size(), 1U);
}

// ... and one job failing on several machines against the job: the machines stay, the job is tried ever more
// rarely.
TEST(Scenario, FailingJobLeavesMachinesAlone) {
    World w("failing_job");
    w.lead();
    for (const auto* m : {"m-1", "m-2", "m-3", "m-4"}) {
        w.worker(m);
        w.meet(m);
    }
    w.submit(array_job("j-1", 1));
    for (int i = 0; i < 3; ++i) {
        w.decide();
        for (const auto* m : {"m-1", "m-2", "m-3", "m-4"}) w.handle_heartbeat(m);
        w.set("j-1/0", TaskState::exited, ExitCause::error);
        for (const auto* m : {"m-1", "m-2", "m-3", "m-4"}) w.handle_heartbeat(m);
    }
    EXPECT_EQ(w.starts, 3);
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
    w.decide();
    for (const auto* m : {"m-1", "m-2", "m-3", "m-4"}) w.handle_heartbeat(m);
    EXPECT_EQ(w.starts, 3);  // not again at once
    for (const auto& [id, m] : w.cluster_state().machines()) EXPECT_FALSE(m.quarantined) << id;
}

// Both at once: the job that fails everywhere is held back, the machine that fails everything goes, the rest
// stays.
TEST(Scenario, FailingJobBesideAFaultyMachine) {
    World w("failing_job_and_machine");
    w.lead();
    const std::vector<std::string> machines{"m-1", "m-2", "m-3", "m-4"};
    for (const auto& m : machines) {
        w.worker(m);
        w.meet(m);
    }
    w.submit(array_job("j-1", 1));  // fails everywhere
    w.submit(array_job("j-2", 6));  // sound, but everything on m-1 fails
    for (int round = 0; round < 4; ++round) {
        w.decide();
        for (const auto& m : machines) w.handle_heartbeat(m);
        for (const auto& m : machines)
            for (auto& t : w.workers.at(m).tasks) {
                if (t.state == TaskState::exited) continue;
                const bool fails = t.task.job == "j-1" || m == "m-1";
                t.state = TaskState::exited;
                t.cause = fails ? ExitCause::error : ExitCause::done;
            }
        for (const auto& m : machines) w.handle_heartbeat(m);
        w.pass(3);
    }
    w.commit();
    EXPECT_EQ(w.status("j-2"), "done");
    EXPECT_EQ(w.status("j-1"), "accepted");
    for (const auto& [id, m] : w.cluster_state().machines()) EXPECT_EQ(m.quarantined, id == "m-1") << id;
}

// The limit counts what may still run on machines that are not heard.
TEST(Scenario, TeamLimitCountsUnknownTasks) {
    World w("team_limit");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    auto job = array_job("j-1", 3);
    job.team = "capped";  // 2 GPUs
    w.submit(job);
    running(w, "m-1");
    EXPECT_EQ(w.starts, 2);
    w.lead();
    w.meet("m-2");
    w.decide("m-2");
    EXPECT_EQ(w.starts, 2);
}

// Together counts tasks whose machine is not heard: the zone of an unknown machine is no zone at all.
TEST(Scenario, TogetherWaitsForTheUnknown) {
    World w("together");
    w.lead();
    w.worker("m-1", "g4", "a");
    w.worker("m-2", "g4", "b");
    w.meet("m-1");
    auto job = array_job("j-1", 5);
    job.same_zone = true;
    w.submit(job);
    running(w, "m-1");
    EXPECT_EQ(w.starts, 4);
    w.meet("m-2");
    w.decide("m-2");
    EXPECT_EQ(w.starts, 4);
    w.lead();
    w.meet("m-2");
    w.decide("m-2");
    EXPECT_EQ(w.starts, 4);
}

TEST(Scenario, SpreadKeepsHalf) {
    World w("spread");
    w.lead();
    w.worker("m-1", "g4", "a");
    w.meet("m-1");
    auto job = array_job("j-1", 3);
    job.spread = true;
    w.submit(job);
    running(w, "m-1");
    EXPECT_EQ(w.starts, 2);
    w.worker("m-2", "g4", "b");
    w.meet("m-2");
    running(w, "m-2");
    EXPECT_EQ(w.starts, 3);
}

// A rental without an answer is repeated under its name by the next leader: it rents once, and is not
// forgotten.
TEST(Scenario, RentalSurvivesATakeover) {
    World w("rental_takeover");
    w.lead();
    w.submit(gang_job("j-1", 1));
    w.decide();
    const auto first = w.rent();
    ASSERT_EQ(first.size(), 1U);
    w.lead();  // before the answer was written down
    w.decide();
    const auto again = w.rent();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].name, first[0].name);
    w.submit(gang_job("j-2", 1));
    w.pass(2);
    w.decide();
    for (const auto& r : w.rent()) EXPECT_NE(r.name, first[0].name);
}

TEST(Scenario, RefusedPoolBacksOff) {
    World w("refused_pool");
    w.lead();
    w.submit(gang_job("j-1", 1));
    w.decide();
    const auto r = w.cluster_state().next_provisioning_request();
    ASSERT_TRUE(r);
    w.cluster_state().provisioning_refused(r->name, w.now);
    w.decide();
    const auto other = w.cluster_state().next_provisioning_request();
    ASSERT_TRUE(other);
    EXPECT_NE(other->zone, r->zone);  // the other zone at once, this one later
    w.note("cloud   " + r->zone + " has none, " + other->zone + " is asked");
}

TEST(Scenario, MachineThatNeverComesUp) {
    World w("never_up");
    w.lead();
    w.submit(gang_job("j-1", 1));
    w.decide();
    w.rent();
    w.pass(100);
    w.plan();
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
    w.pass(60);
    w.plan();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now).size(), 1U);
    w.release();
}

// A takeover long after the rentals: no machine has been heard in the new term, and none is given up for
// that.
TEST(Scenario, TakeoverDoesNotReturnRunningMachines) {
    World w("takeover_keeps_machines");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.pass(400);
    w.lead();
    w.cluster_state().apply_machine_list({{"m-1", "", "g4", "a", false, model::MachineStatus::running, 400},
                                          {"m-2", "", "g4", "a", false, model::MachineStatus::booting, 400}},
                                         w.now);
    w.plan();
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
    w.pass(2);
    w.meet("m-1");
    w.pass(14);
    w.handle_heartbeat("m-1");
    w.plan();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now), std::vector<std::string>{"m-2"});
    w.release();
}

// A leader that was cut off hears nobody; when it can act again, silence counts from then.
TEST(Scenario, SilenceCountsFromListening) {
    World w("silence_from_listening");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.meet("m-2");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.note("        cut off for 60 s");
    w.pass(60);
    w.cluster_state().restart_silence_timers(w.now);
    w.handle_heartbeat("m-2");
    w.plan();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now),
              std::vector<std::string>{"m-2"});  // idle; m-1 is not given up
    w.release();
    w.handle_heartbeat("m-1");
}

// A spot machine whose notice has run out is proven gone by a release, not by waiting for the list.
TEST(Scenario, TakenSpotMachineIsReleasedAtOnce) {
    World w("spot_taken");
    w.lead();
    w.worker("m-1", "g4", "a", true);
    w.meet("m-1");
    w.workers.at("m-1").interruption_notice_s = 8;
    w.handle_heartbeat("m-1");
    w.pass(8);
    w.plan();
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
    w.pass(1.5);
    w.plan();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now).size(), 1U);
}

// 100,000 tasks: the record stays within one value and the picture within memory.
TEST(Scenario, LargeArrayFitsItsRecord) {
    World w("large_array");
    w.lead();
    for (int i = 0; i < 60; ++i) {
        const auto id = "m-" + std::to_string(100 + i);
        w.worker(id);
        w.cluster_state().apply_heartbeat(w.report(w.workers.at(id)), w.now);
        w.workers.at(id).fencing_token = w.cluster_state().fencing_token();
        w.cluster_state().apply_heartbeat(w.report(w.workers.at(id)), w.now);
    }
    auto job = array_job("j-1", 100000);
    job.task_resources = {0.5, 0, 1};
    w.submit(job);
    w.plan();
    w.commit();  // judged against value_kb by the stand-in
    std::size_t placed = 0;
    for (const auto& [key, row] : w.state.rows)
        if (records::under(key, records::segment_prefix))
            placed = std::max(placed,
                              records::parse_segment(row.value)->entries.at({"j-1", 0})->placements.size());
    EXPECT_GT(placed, 150U);
}

// A gang that lost a member after running for long has waited a moment only: after a crowd of losses the
// widest would hold machines at once, before all that came meanwhile.
TEST(Scenario, WaitsFromItsLastRun) {
    World w("waits_from_its_last_run");
    w.lead();
    for (const auto* id : {"m-1", "m-2", "m-3"}) {
        w.worker(id);
        w.meet(id);
    }
    w.submit(gang_job("j-1", 2));
    w.decide();
    for (const auto* id : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(id);
    w.set("j-1/0", TaskState::running);
    w.set("j-1/1", TaskState::running);
    w.pass(200);
    for (const auto* id : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(id);
    w.set("j-1/0", TaskState::exited, ExitCause::gang_member_lost);
    w.set("j-1/1", TaskState::exited, ExitCause::gang_member_lost);
    for (const auto* id : {"m-1", "m-2", "m-3"}) w.handle_heartbeat(id);
    w.note("        m-2 and m-3 are cut off");
    w.submit(gang_job("j-2", 1));
    w.pass(25);
    w.handle_heartbeat("m-1");
    w.decide();
    const auto commands = w.handle_heartbeat("m-1");
    EXPECT_TRUE(
        std::any_of(commands.begin(), commands.end(), [](const auto& o) { return o.task.job == "j-2"; }));
}

// Found by a day of bursts: with the write budget spent, every commit was small, filled with placements, and
// left no room for the end of a job. Users waited minutes for the done of work that had long ended.
TEST(Scenario, EndsOfJobsInACrowd) {
    World w("ends_in_a_crowd");
    w.config.value_kb = 1;  // a segment holds few jobs
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.handle_heartbeat("m-1");
    w.pass(1);
    for (int i = 0; i < 12; ++i) {
        const auto id = std::to_string(10 + i);
        w.worker("m-" + id);
        w.meet("m-" + id);
        w.submit(array_job("j-" + id, 4));
    }
    w.plan();
    const auto batch = w.take_write_batch(constants::target_batch_changes);
    ASSERT_TRUE(batch);
    EXPECT_GE(batch->segments.size(), 1U);
    w.apply(*batch);
    EXPECT_EQ(w.status("j-1"), "done");
}

TEST(Scenario, StraysAreStopped) {
    World w("strays");
    w.specs["j-9"] = array_job("j-9", 1);
    w.lead();
    auto& m = w.worker("m-1");
    m.tasks.push_back({{"j-9", 0}, 3, TaskState::running, ExitCause::none, false});
    w.meet("m-1");
    EXPECT_EQ(m.tasks[0].state, TaskState::exited);
    w.handle_heartbeat("m-1");
    EXPECT_TRUE(m.tasks.empty());
}

// --- troubles of the grown deployments ---------------------------------------------------------------------

// Spot machines taken between two leaders: the new one never hears their notice. What the list does not show
// once its lag has passed is gone, and a release proves it without waiting for silence.
TEST(Scenario, MachinesTakenBetweenTwoTerms) {
    World w("taken_between_terms");
    w.lead();
    w.worker("m-1", "g4", "a", true);
    w.worker("m-2");
    w.meet("m-1");
    auto job = array_job("j-1", 1);
    job.allows_spot = true;
    w.submit(job);
    running(w, "m-1");
    w.note("        m-1 is taken");
    w.lead();
    w.meet("m-2");
    w.submit(array_job("j-2", 1));
    running(w, "m-2");
    const std::vector<model::ListedMachine> list{
        {"m-2", "", "g4", "a", false, model::MachineStatus::running, 400}};
    for (int i = 0; i < 5; ++i) {
        w.cluster_state().apply_machine_list(list, w.now);
        w.plan();
        EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty())
            << "the list may be as old as twice its lag";
        w.pass(3);
        w.handle_heartbeat("m-2");
    }
    w.pass(1);
    w.cluster_state().apply_machine_list(list, w.now);
    w.plan();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now), std::vector<std::string>{"m-1"});
    w.release();
    w.decide();
    EXPECT_EQ(w.handle_heartbeat("m-2").size(), 1U);
}

// A machine whose reports arrive but which gets neither answers nor commands: found out by what it does not
// do, and given nothing more. Its work goes elsewhere when its own lease has ended it, and the machine is
// returned.
TEST(Scenario, MachineThatHearsNothing) {
    World w("hears_nothing");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.note("        nothing reaches m-1 any more");
    w.submit(array_job("j-2", 2));
    w.decide();
    w.meet("m-2");
    for (int i = 0; i < 11; ++i) {
        w.handle_heartbeat("m-1", true);  // its answers are lost, its reports are not
        w.decide();
        for (const auto& o : w.handle_heartbeat("m-2"))
            EXPECT_NE(o.task.job, "j-1") << "may still run on m-1";
        w.pass(3);
    }
    EXPECT_EQ(w.starts, 3);  // those of j-2 went to m-2
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
    w.lose_session("m-1");
    w.handle_heartbeat("m-1", true);
    w.decide();
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now), std::vector<std::string>{"m-1"});
    EXPECT_EQ(w.handle_heartbeat("m-2").size(), 1U);
    EXPECT_EQ(w.starts, 4);
}

// ... but one that still reports in the same session when its lease must have ended has heard answers again.
TEST(Scenario, MachineThatHearsAgain) {
    World w("hears_again");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.submit(array_job("j-2", 1));
    w.decide();
    for (int i = 0; i < 3; ++i) w.handle_heartbeat("m-1", true), w.pass(3), w.plan(), w.commit();
    EXPECT_EQ(w.starts, 1);
    for (int i = 0; i < 16; ++i) w.handle_heartbeat("m-1"), w.pass(3), w.plan(), w.commit();
    w.handle_heartbeat("m-1");
    EXPECT_EQ(w.starts, 2);
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
}

// ... and when many machines hear nothing at once, it is this side that can't be heard: none is returned.
TEST(Scenario, ManyMachinesHearNothing) {
    World w("many_hear_nothing");
    w.lead();
    std::vector<std::string> machines;
    for (int i = 1; i <= 8; ++i) {
        machines.push_back("m-" + std::to_string(i));
        w.worker(machines.back());
        w.meet(machines.back());
    }
    w.submit(gang_job("j-1", 8));
    w.decide();
    w.note("        no answer reaches any machine");
    for (int i = 0; i < 3; ++i) {
        for (const auto& m : machines) w.handle_heartbeat(m, true);
        w.pass(3);
        w.decide();
    }
    for (const auto& m : machines) w.lose_session(m);
    for (const auto& m : machines) w.handle_heartbeat(m, true);
    EXPECT_TRUE(w.cluster_state().machines_to_release(w.now).empty());
}

// Half of all machines fall silent at once and come back later. Their tasks start elsewhere once the
// machines' release was answered and not before; what the machines said meanwhile, held back by the cut,
// tells nothing.
TEST(Scenario, MassSilenceAndReturn) {
    World w("mass_silence");
    w.lead();
    std::vector<std::string> silent, heard;
    const auto meet = [&](std::vector<std::string>& list, int first) {
        for (int i = first; i < first + 4; ++i) {
            list.push_back("m-" + std::to_string(i));
            w.worker(list.back());
            w.meet(list.back());
        }
    };
    meet(silent, 1);
    w.submit(gang_job("j-1", 4));
    w.decide();
    for (const auto& m : silent) w.handle_heartbeat(m);
    const auto before = w.starts;
    EXPECT_EQ(before, 4);
    meet(heard, 5);
    w.note("        m-1 to m-4 are cut off, their packets held back");
    std::vector<model::Heartbeat> held;
    for (const auto& m : silent) held.push_back(w.report(w.workers.at(m)));
    for (int i = 0; i < 8; ++i) {
        w.pass(3);
        for (const auto& m : heard) w.handle_heartbeat(m);
        w.decide();
        EXPECT_EQ(w.starts, before);
    }
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now).size(), 4U);
    EXPECT_EQ(w.starts, before);
    w.release();
    for (const auto& r : held) EXPECT_FALSE(w.cluster_state().apply_heartbeat(r, w.now));
    for (int i = 0; i < 3; ++i) {
        w.decide();
        for (const auto& m : heard) w.handle_heartbeat(m);
        w.pass(1);
    }
    EXPECT_EQ(w.starts, before + 4);
}

// ... and one that never shows this term's token is told nothing and proves nothing; with many of them the
// fault is taken to be on our side.
TEST(Scenario, MachineThatNeverShowsTheToken) {
    World w("never_shows_token");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    w.lead();
    w.meet("m-2");
    for (int i = 0; i < 14; ++i) {
        w.handle_heartbeat("m-1", true);
        w.handle_heartbeat("m-2");
        w.decide();
        EXPECT_EQ(w.starts, 1);
        EXPECT_EQ(w.cluster_state().machines_to_release(w.now).empty(), i * 3 <= w.config.worker_lease_s)
            << i;
        w.pass(3);
    }
    w.release();
    w.decide();
    EXPECT_EQ(w.handle_heartbeat("m-2").size(), 1U);
}

// Copies of a report, seconds or minutes late, keep no machine alive, and mark nothing as told.
TEST(Scenario, LateCopiesKeepNoMachineAlive) {
    World w("late_copies");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.meet("m-1");
    w.meet("m-2");
    w.submit(array_job("j-1", 1));
    running(w, "m-1");
    const auto copy = w.report(w.workers.at("m-1"));
    w.cluster_state().apply_heartbeat(copy, w.now);
    w.note("        m-1 stops with all that is on it");
    for (int i = 0; i < 6; ++i) {
        w.pass(3);
        w.handle_heartbeat("m-2");
        EXPECT_FALSE(w.cluster_state().apply_heartbeat(copy, w.now));
        w.note("copy    of m-1's last report");
        w.plan();
    }
    EXPECT_EQ(w.cluster_state().machines_to_release(w.now), std::vector<std::string>{"m-1"});
    w.release();
    w.commit();
    w.pass(120);
    w.note("copy    of m-1's last report, long after its lease");
    EXPECT_FALSE(w.cluster_state().apply_heartbeat(copy, w.now));
    EXPECT_FALSE(w.cluster_state().machines().contains("m-1"));
    w.lead();
    w.note("copy    in a later term, under the old token");
    w.cluster_state().apply_heartbeat(copy, w.now);
    EXPECT_TRUE(w.cluster_state().commands_for("m-1", true, w.now).empty());
    w.submit(array_job("j-2", 1));
    w.decide();
    EXPECT_TRUE(w.cluster_state().machines().at("m-1").tasks.empty());  // it gets nothing
}

// A segment is written over when nobody needs it; a second copy of the commit that wrote it first then finds
// a newer version, and what was true at that time does not come back.
TEST(Scenario, LateCopyMeetsASegmentWrittenOver) {
    World w("segment_written_over");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.plan();
    const auto first = w.take_write_batch();
    ASSERT_TRUE(first);
    w.apply(*first);
    w.handle_heartbeat("m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.handle_heartbeat("m-1");
    w.commit();
    for (const auto* id : {"j-2", "j-3"}) {
        w.submit(array_job(id, 1));
        w.decide();
    }
    EXPECT_FALSE(w.state.commit(first->txn));
    w.note("commit  the first again: refused");
    w.lead();
    EXPECT_FALSE(w.cluster_state().jobs().contains("j-1"));  // over: denied in a later segment
    EXPECT_EQ(w.cluster_state().jobs().at("j-2").placements.size(), 1U);
    EXPECT_EQ(w.cluster_state().jobs().at("j-3").placements.size(), 1U);
}

// A job that is over still stands in a segment that others need: a later segment denies it, so that a new
// leader does not take its tasks for unknown ones.
TEST(Scenario, WhatIsOverIsDenied) {
    World w("denied");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.submit(array_job("j-2", 1));
    running(w, "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.handle_heartbeat("m-1");
    w.commit();
    w.submit(array_job("j-3", 1));
    w.plan();
    EXPECT_TRUE(w.take_write_batch());  // refused by the state service: the next one says it again
    w.commit();
    w.lead();
    EXPECT_FALSE(w.cluster_state().jobs().contains("j-1"));
    EXPECT_EQ(w.cluster_state().jobs().at("j-2").placements.size(), 1U);
    EXPECT_EQ(w.cluster_state().jobs().at("j-3").placements.size(), 1U);
}

// Version 0.1 kept a record a job. A new leader reads it, and moves it into a segment with the next change.
TEST(Scenario, RecordsOfTheEarlierVersionAreRead) {
    World w("earlier_records");
    w.lead();
    w.worker("m-1");
    w.worker("m-2");
    w.submit(array_job("j-1", 2));
    model::Progress p;
    p.placements = {{0, 1, "m-1"}};
    p.next_attempt = 2;
    p.task_resources = array_job("j-1", 2).task_resources, p.team = "team";
    w.state.put(records::progress_key("j-1"), records::progress_json(p));
    w.lead();
    w.meet("m-2");
    w.decide();
    const auto commands = w.handle_heartbeat("m-2");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].task.index, 1U);  // the other may run on m-1
    EXPECT_FALSE(w.state.rows.contains(records::progress_key("j-1")));
    w.lead();
    EXPECT_EQ(w.cluster_state().jobs().at("j-1").placements.size(), 2U);
}

// An answer waits for work where there is room for the smallest task that came lately, beside others too: a
// stage of a pipeline started up to a report period late on machines in use.
TEST(Scenario, AnswersWaitWhereThereIsRoom) {
    World w("answers_wait_for_room");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.decide("m-1");
    EXPECT_FALSE(w.cluster_state().has_room("m-1", w.now));  // nothing came lately that would fit
    scheduling::ClassDemand demand;
    demand.sample = array_job("j-2", 1);
    w.cluster_state().plan(w.now, w.wall_ms(), {{"small", demand}});
    EXPECT_TRUE(w.cluster_state().has_room("m-1", w.now));
    demand.sample.task_resources.cpus = 31;
    w.cluster_state().plan(w.now, w.wall_ms(), {{"large", demand}});
    EXPECT_FALSE(w.cluster_state().has_room("m-1", w.now));
}

// At size: what a quarter of a minute costs in commits and changes, and that every job gets its turn.
TEST(Scenario, SeventeenHundredMachines) {
    World w("at_size");
    w.config.heartbeat_period_s = 8;
    w.lead();
    const int machines = 2300, jobs = 300;
    for (int i = 0; i < machines; ++i) {
        const auto id = "m-" + std::to_string(10000 + i);
        auto& m = w.worker(id);
        w.cluster_state().apply_heartbeat(w.report(m), w.now);
        m.fencing_token = w.cluster_state().fencing_token();
        w.cluster_state().apply_heartbeat(w.report(m), w.now);
    }
    for (int i = 0; i < jobs; ++i) {
        auto job = i % 3 ? array_job("j-" + std::to_string(1000 + i), 15)
                         : gang_job("j-" + std::to_string(1000 + i), 1U << (i / 3 % 5));
        w.specs[job.id] = job;
        job.accepted_ms = w.wall_ms();
        w.cluster_state().job_added(job, 1, w.now);
    }
    std::size_t commits = 0, changes = 0;
    for (int round = 0; round < 40; ++round) {
        w.plan();
        while (const auto batch = w.take_write_batch()) {
            ASSERT_LE(batch->txn.changes.size(), static_cast<std::size_t>(w.config.max_transaction_changes));
            ++commits, changes += batch->txn.changes.size();
            const auto revision = w.state.commit(batch->txn);
            if (!revision) break;  // the finals: this world's jobs were never accepted through it
            w.cluster_state().apply_commit(*batch, *revision, w.now, w.wall_ms());
        }
        w.pass(0.4);
    }
    std::size_t placed = 0, whole = 0;
    for (const auto& [id, job] : w.cluster_state().jobs()) {
        placed += job.placements.size();
        whole += job.placements.size() == job.spec->task_count;
    }
    w.note(std::to_string(jobs) + " jobs, " + std::to_string(machines) + " machines: " +
           std::to_string(placed) + " tasks placed, " + std::to_string(whole) + " jobs whole");
    w.note(std::to_string(commits) + " commits, " + std::to_string(changes) + " changes");
    EXPECT_EQ(whole, static_cast<std::size_t>(jobs));
    EXPECT_LT(changes, 60U);  // one record a job took 300
    // Every machine's tasks are found without a walk over the jobs: the index agrees with the slots.
    std::size_t indexed = 0;
    for (const auto& [id, m] : w.cluster_state().machines()) indexed += m.tasks.size();
    EXPECT_EQ(indexed, placed);
}

// A leader without its lease lets go when a peer is served and it is not, or when it hears none; not in an
// outage of all.
TEST(LeaseGuard, ALeaderCutOffAloneLetsGo) {
    leadership::LeaseGuard p(66, 36);
    p.cancellations_known_until(100);
    p.renewed(100);  // good until 104.5
    const store::StoreRefusal refused{101, 106};
    EXPECT_FALSE(p.should_step_down(104, refused, {{103, 0.5}, {-1, 0}}));
    // Served after we were refused, but while our lease may still have lived: an outage of all may have begun
    // since, in which nobody else can lead.
    EXPECT_FALSE(p.should_step_down(106.1, refused, {{105, 0.5}, {-1, 0}}));
    EXPECT_TRUE(p.should_step_down(107, {101, 106.95}, {{106, 0.2}, {-1, 0}}));
    EXPECT_FALSE(p.should_step_down(110, {101, 109.9}, {{109, 9}, {109, 8}}));
    EXPECT_FALSE(p.should_step_down(108, {101, 107.9}, {{100, 0.5}, {-1, 0}}));  // old news
    EXPECT_TRUE(p.should_step_down(109, {101, 108.9}, {{100, 0.5}, {-1, 0}}));
    EXPECT_FALSE(p.should_step_down(200, refused, {}));  // nobody else could lead
    // A peer's contact just before an outage of all is no proof, however young: served before we were
    // refused.
    EXPECT_FALSE(p.should_step_down(105, {102, 104.9}, {{103.5, 1.6}, {103.6, 1.7}}));
    // Nor is its contact just after: our next request may be served as well.
    EXPECT_FALSE(p.should_step_down(130, {102, 129.7}, {{129.6, 0.1}, {129.6, 0.1}}));
}

// A lease counts from when its renewal was sent; without it nothing starts.
TEST(LeaseGuard, LeaseCountsFromSending) {
    leadership::LeaseGuard p(66, 36);
    p.cancellations_known_until(100);
    EXPECT_FALSE(p.may_start(100));
    p.renewed(100);
    EXPECT_TRUE(p.may_start(104.4));
    EXPECT_FALSE(p.may_start(104.5));
    p.renewed(99);  // an answer that comes late proves nothing new
    EXPECT_FALSE(p.may_start(104.5));
}

// Renewals may go through while watches hang: such a leader hears of no cancellation and has to stop.
TEST(LeaseGuard, ALeaseWithoutNewsIsNotEnough) {
    leadership::LeaseGuard p(66, 36);
    p.cancellations_known_until(100);
    p.renewed(126);
    EXPECT_FALSE(p.may_start(126));
    EXPECT_FALSE(p.may_answer_heartbeats(126));
    p.cancellations_known_until(126);
    EXPECT_TRUE(p.may_start(127));
}

// Reports may be answered without the state service only while a cancellation told elsewhere can still be
// met: cancel_s 66 less lease_s 36 less the margin of 4 after the last proof.
TEST(LeaseGuard, AnswersEndInTimeForACancellation) {
    leadership::LeaseGuard p(66, 36);
    EXPECT_FALSE(p.may_answer_heartbeats(0));
    p.renewed(100);
    p.cancellations_known_until(100);
    EXPECT_TRUE(p.may_answer_heartbeats(125.9));
    EXPECT_FALSE(p.may_answer_heartbeats(126));
    // Every peer names all it told: as good as the state service.
    p.confirm_by_peers({{120, 120.1, 500, true}, {121, 121.1, 500, true}});
    EXPECT_TRUE(p.may_answer_heartbeats(145.9));
    EXPECT_FALSE(p.may_answer_heartbeats(146));
}

// A peer that was restarted since the last proof has forgotten what it told; one that is not heard may tell
// anything.
TEST(LeaseGuard, AForgetfulOrSilentPeerConfirmsNothing) {
    leadership::LeaseGuard p(66, 36);
    p.cancellations_known_until(100);
    p.confirm_by_peers({{120, 120.1, 500, true}, {121, 121.1, 5, true}});
    EXPECT_FALSE(p.may_answer_heartbeats(126));
    p.confirm_by_peers({{120, 120.1, 500, true}, {-1, -1, 0, true}});
    EXPECT_FALSE(p.may_answer_heartbeats(126));
    p.confirm_by_peers({{120, 120.1, 500, true}, {121, 121.1, 500, false}});
    EXPECT_FALSE(p.may_answer_heartbeats(126));
    // Back within a second: the question left before the new life began, the answer came after. What the
    // earlier life told in between is known to nobody.
    p.confirm_by_peers({{120, 120.1, 500, true}, {99.5, 100.4, 0.2, true}});
    EXPECT_FALSE(p.may_answer_heartbeats(126));
    // Its clock may run fast: a life of 500 s by it may have begun half a second later than it says.
    p.cancellations_known_until(120);
    p.confirm_by_peers({{620, 620.1, 900, true}, {619.8, 619.9, 500, true}});
    EXPECT_FALSE(p.may_answer_heartbeats(146));
}

// A part is never given for the whole: a log that forgot some, or holds more than a message, says so.
TEST(CancellationLog, GivesAllOrNothing) {
    store::CancellationLog log;
    EXPECT_TRUE(log.add("j-1", 5));
    EXPECT_TRUE(log.add("j-2", 9));
    EXPECT_FALSE(log.add("j-2", 9));
    EXPECT_EQ(log.after(0)->size(), 2U);
    EXPECT_EQ(log.after(5), (std::vector<store::CancellationLog::Entry>{{9, "j-2"}}));
    EXPECT_TRUE(log.after(9)->empty());
    namespace c = constants;
    for (std::uint64_t r = 10; r < 10 + c::max_cancellations_per_message; ++r)
        log.add("j-" + std::to_string(r), r);
    EXPECT_FALSE(log.after(8));  // one more than a message holds
    EXPECT_EQ(log.after(9)->size(), c::max_cancellations_per_message);
    for (std::uint64_t r = 100000; r < 100000 + c::max_cancellations_kept; ++r) log.add("j-0", r);
    EXPECT_FALSE(log.after(2008));  // the last that was forgotten is 2009
    EXPECT_FALSE(log.after(2009));  // still more than a message
    EXPECT_EQ(log.after(100000 + c::max_cancellations_kept - 3)->size(), 2U);
    // What was told of an old revision is not lost silently either.
    log.add("j-1", 5);
    EXPECT_FALSE(log.after(4));
}

// A peer names what our mirror does not hold; it is told onward, the leader's book hears it, and a final
// state that a mirror read anew does not show is not forgotten.
TEST(WatchCache, LearnsFinalStatesFromAnybody) {
    store::WatchCache m;
    std::vector<std::string> heard;
    m.on_cancelled = [&](const std::string& id, bool fresh) { heard.push_back(id + (fresh ? " new" : "")); };
    m.record_outcome("j-1", {model::FinalStatus::cancelled}, 8);
    m.record_outcome("j-2", {model::FinalStatus::done}, 9);
    m.clear();
    EXPECT_EQ(m.outcome_of("j-1"), model::FinalStatus::cancelled);
    EXPECT_EQ(m.cancellations().after(7)->size(), 1U);
    m.apply({{{records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::cancelled}), 8}}, 9},
            0);
    EXPECT_EQ(heard, (std::vector<std::string>{"j-1 new", "j-1"}));
}

// Two watches may answer out of order: what is known is not undone by what is older.
TEST(WatchCache, OverlappingWatchesApplyOnce) {
    store::WatchCache m;
    auto spec = array_job("j-1", 1);
    spec.accepted_ms = 1;
    m.apply({{{records::job_key("j-1"), records::job_json(spec), 5}}, 5}, 0);
    m.apply({{{records::job_key("j-1"), std::nullopt, 7},
              {records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::cancelled}), 7}},
             7},
            0);
    m.apply({{{records::job_key("j-1"), records::job_json(spec), 5}}, 6}, 0);
    EXPECT_TRUE(m.jobs.empty());
    EXPECT_EQ(m.outcome_of("j-1"), model::FinalStatus::cancelled);
    EXPECT_EQ(m.revision, 7U);
}

}  // namespace
}  // namespace pineroad::test
