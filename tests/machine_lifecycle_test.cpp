// Provisioning, failure detection, quarantine, spot reclamation and release of machines.
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// The answer to a release proves a machine gone; a heartbeat held back by the network must not register
// it again.
TEST(MachineLifecycle, ReleasedMachineStaysGone) {
    StartedLeader w("released_stays_gone", {"m-1", "m-2"});
    w.run_job(gang_job("j-1", 1), "m-1");
    const auto held = w.report(w.workers.at("m-1"));
    for (int i = 0; i < 5; ++i) w.pass(3), w.checkin("m-2");
    w.plan();
    w.release();
    w.note("report  of m-1, held back, arrives");
    EXPECT_FALSE(w.book().absorb(held, w.now));
    w.decide();
    EXPECT_EQ(w.checkin("m-2").size(), 1U);
}

// On a reclamation notice tasks write their checkpoints, and the machine gets no new work.
TEST(MachineLifecycle, SpotNoticeCheckpointsTasks) {
    StartedLeader w("spot_notice");
    w.worker("m-1", "g4", "a", true);
    w.meet("m-1");
    auto job = array_job("j-1", 1);
    job.spot_ok = true;
    w.run_job(job, "m-1");
    w.workers.at("m-1").notice_s = 8;
    w.checkin("m-1");
    EXPECT_EQ(w.workers.at("m-1").tasks[0].state, TaskState::saving);
    w.submit(array_job("j-2", 1));
    w.decide();
    EXPECT_EQ(w.starts, 1);  // nothing new on a machine about to go
}

// Failures of two jobs on one machine are evidence against the machine.
TEST(MachineLifecycle, FaultyMachineIsReleased) {
    StartedLeader w("faulty_machine", {"m-1"});
    w.submit(array_job("j-1", 1));
    w.run_job(array_job("j-2", 1), "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::error);
    w.set("j-2/0", TaskState::exited, ExitCause::error);
    w.checkin("m-1");
    w.plan();
    EXPECT_EQ(w.book().next_releases(w.now).size(), 1U);
}

// Failures of one job on several machines are evidence against the job: the machines stay, the job is
// retried with a growing delay.
TEST(MachineLifecycle, FailingJobQuarantinesNoMachine) {
    StartedLeader w("failing_job", {"m-1", "m-2", "m-3", "m-4"});
    w.submit(array_job("j-1", 1));
    for (int i = 0; i < 3; ++i) {
        w.decide();
        w.checkin_all({"m-1", "m-2", "m-3", "m-4"});
        w.set("j-1/0", TaskState::exited, ExitCause::error);
        w.checkin_all({"m-1", "m-2", "m-3", "m-4"});
    }
    EXPECT_EQ(w.starts, 3);
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
    w.decide();
    w.checkin_all({"m-1", "m-2", "m-3", "m-4"});
    EXPECT_EQ(w.starts, 3);  // not again at once
    for (const auto& [id, m] : w.book().machines()) EXPECT_FALSE(m.faulty) << id;
}

// Both at once: the job that fails everywhere is delayed, the machine on which everything fails is
// quarantined, the others stay.
TEST(MachineLifecycle, FailingJobBesideAFaultyMachine) {
    StartedLeader w("failing_job_and_machine");
    const std::vector<std::string> machines{"m-1", "m-2", "m-3", "m-4"};
    for (const auto& m : machines) {
        w.worker(m);
        w.meet(m);
    }
    w.submit(array_job("j-1", 1));  // fails everywhere
    w.submit(array_job("j-2", 6));  // sound, but everything on m-1 fails
    for (int round = 0; round < 4; ++round) {
        w.decide();
        w.checkin_all(machines);
        for (const auto& m : machines)
            for (auto& t : w.workers.at(m).tasks) {
                if (t.state == TaskState::exited) continue;
                const bool fails = t.task.job == "j-1" || m == "m-1";
                t.state = TaskState::exited;
                t.cause = fails ? ExitCause::error : ExitCause::done;
            }
        w.checkin_all(machines);
        w.pass(3);
    }
    w.commit();
    EXPECT_EQ(w.status("j-2"), "done");
    EXPECT_EQ(w.status("j-1"), "accepted");
    for (const auto& [id, m] : w.book().machines()) EXPECT_EQ(m.faulty, id == "m-1") << id;
}

// A pool without capacity is left for a while; another zone is asked at once.
TEST(MachineLifecycle, RefusedPoolBacksOff) {
    StartedLeader w("refused_pool");
    w.submit(gang_job("j-1", 1));
    w.decide();
    const auto r = w.book().next_rental();
    ASSERT_TRUE(r);
    w.book().rental_refused(r->name, w.now);
    w.decide();
    const auto other = w.book().next_rental();
    ASSERT_TRUE(other);
    EXPECT_NE(other->zone, r->zone);  // the other zone at once, this one later
    w.note("cloud   " + r->zone + " has none, " + other->zone + " is asked");
}

// A provisioned machine without a heartbeat is released after its boot time, and not before.
TEST(MachineLifecycle, MachineThatNeverBootsIsReleased) {
    StartedLeader w("never_up");
    w.submit(gang_job("j-1", 1));
    w.decide();
    w.rent();
    w.pass(100);
    w.plan();
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
    w.pass(60);
    w.plan();
    EXPECT_EQ(w.book().next_releases(w.now).size(), 1U);
    w.release();
}

// A leader that was partitioned receives no heartbeats; when it can act again, silence counts from then.
TEST(MachineLifecycle, SilenceCountsFromListening) {
    StartedLeader w("silence_from_listening", {"m-1", "m-2"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.note("        cut off for 60 s");
    w.pass(60);
    w.book().listening_from(w.now);
    w.checkin("m-2");
    w.plan();
    EXPECT_EQ(w.book().next_releases(w.now), std::vector<std::string>{"m-2"});  // idle; m-1 is not given up
    w.release();
    w.checkin("m-1");
}

// A spot machine whose notice has run out is proven gone by a release, not by waiting for the list.
TEST(MachineLifecycle, ReclaimedSpotMachineIsReleasedAtOnce) {
    StartedLeader w("spot_taken");
    w.worker("m-1", "g4", "a", true);
    w.meet("m-1");
    w.workers.at("m-1").notice_s = 8;
    w.checkin("m-1");
    w.pass(8);
    w.plan();
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
    w.pass(1.5);
    w.plan();
    EXPECT_EQ(w.book().next_releases(w.now).size(), 1U);
}

// Half of all machines fall silent at once and come back later. Their tasks start elsewhere once the
// machines' release was answered and not before; heartbeats held back by the partition prove nothing.
TEST(MachineLifecycle, HalfOfAllMachinesPartitioned) {
    StartedLeader w("mass_silence");
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
    w.checkin_all(silent);
    const auto before = w.starts;
    EXPECT_EQ(before, 4);
    meet(heard, 5);
    w.note("        m-1 to m-4 are cut off, their packets held back");
    std::vector<model::Report> held;
    for (const auto& m : silent) held.push_back(w.report(w.workers.at(m)));
    for (int i = 0; i < 8; ++i) {
        w.pass(3);
        w.checkin_all(heard);
        w.decide();
        EXPECT_EQ(w.starts, before);
    }
    EXPECT_EQ(w.book().next_releases(w.now).size(), 4U);
    EXPECT_EQ(w.starts, before);
    w.release();
    for (const auto& r : held) EXPECT_FALSE(w.book().absorb(r, w.now));
    for (int i = 0; i < 3; ++i) {
        w.decide();
        w.checkin_all(heard);
        w.pass(1);
    }
    EXPECT_EQ(w.starts, before + 4);
}

}  // namespace
}  // namespace pineroad::test
