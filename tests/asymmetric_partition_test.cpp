// One-way partitions: machines whose heartbeats arrive while nothing reaches them.
#include "world.hpp"

namespace pineroad::test {
namespace {

// A machine whose heartbeats arrive but which gets neither answers nor commands: detected by commands it
// does not acknowledge, and given nothing more. Its work is placed elsewhere when its own lease has ended
// it, and the machine is released.
TEST(AsymmetricPartition, InboundPartitionIsDetected) {
    StartedLeader w("hears_nothing", {"m-1"});
    w.worker("m-2");
    w.run_job(array_job("j-1", 1), "m-1");
    w.note("        nothing reaches m-1 any more");
    w.submit(array_job("j-2", 2));
    w.decide();
    w.meet("m-2");
    for (int i = 0; i < 11; ++i) {
        w.checkin("m-1", true);  // its answers are lost, its reports are not
        w.decide();
        for (const auto& o : w.checkin("m-2")) EXPECT_NE(o.task.job, "j-1") << "may still run on m-1";
        w.pass(3);
    }
    EXPECT_EQ(w.starts, 3);  // those of j-2 went to m-2
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
    w.lose_session("m-1");
    w.checkin("m-1", true);
    w.decide();
    EXPECT_EQ(w.book().next_releases(w.now), std::vector<std::string>{"m-1"});
    EXPECT_EQ(w.checkin("m-2").size(), 1U);
    EXPECT_EQ(w.starts, 4);
}

// A machine that still sends heartbeats in the same agent epoch when its lease must have ended has
// received answers again.
TEST(AsymmetricPartition, HealedMachineIsUsedAgain) {
    StartedLeader w("hears_again", {"m-1"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.submit(array_job("j-2", 1));
    w.decide();
    for (int i = 0; i < 3; ++i) w.checkin("m-1", true), w.pass(3), w.plan(), w.commit();
    EXPECT_EQ(w.starts, 1);
    for (int i = 0; i < 16; ++i) w.checkin("m-1"), w.pass(3), w.plan(), w.commit();
    w.checkin("m-1");
    EXPECT_EQ(w.starts, 2);
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
}

// When no answer reaches many machines at once, the fault is the leader's: no machine is released.
TEST(AsymmetricPartition, ManyAtOnceReleaseNoMachine) {
    StartedLeader w("many_hear_nothing");
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
        for (const auto& m : machines) w.checkin(m, true);
        w.pass(3);
        w.decide();
    }
    for (const auto& m : machines) w.lose_session(m);
    for (const auto& m : machines) w.checkin(m, true);
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
}

// A machine that never shows this term's fencing token gets no commands and proves nothing; it is
// released once its lease must have ended. With many of them the fault is taken to be the leader's.
TEST(AsymmetricPartition, MachineThatNeverShowsTheToken) {
    StartedLeader w("never_shows_token", {"m-1"});
    w.worker("m-2");
    w.run_job(array_job("j-1", 1), "m-1");
    w.lead();
    w.meet("m-2");
    for (int i = 0; i < 14; ++i) {
        w.checkin("m-1", true);
        w.checkin("m-2");
        w.decide();
        EXPECT_EQ(w.starts, 1);
        EXPECT_EQ(w.book().next_releases(w.now).empty(), i * 3 <= w.config.lease_s) << i;
        w.pass(3);
    }
    w.release();
    w.decide();
    EXPECT_EQ(w.checkin("m-2").size(), 1U);
}

}  // namespace
}  // namespace pineroad::test
