// A new leader rebuilds its state from the store and from heartbeats; what it does not know yet may still
// run.
#include "world.hpp"

namespace pineroad::test {
namespace {

// Unknown means possibly still running: no heartbeat of the machine of an earlier term's placement has
// arrived, so its task waits for proof.
TEST(Failover, LeavesUnknownTasksAlone) {
    StartedLeader w("takeover_unknown", {"m-1"});
    w.worker("m-2");
    w.run_job(array_job("j-1", 1), "m-1");
    w.note("        m-1 is cut off; its task runs on");
    w.lead();
    w.meet("m-2");
    for (int i = 0; i < 4; ++i) {
        w.pass(3);
        w.decide();
        EXPECT_TRUE(w.checkin("m-2").empty());
    }
    w.pass(10);
    w.checkin("m-2");
    w.plan();  // silent for long, while m-2 is heard
    w.release();
    w.decide();
    EXPECT_EQ(w.checkin("m-2").size(), 1U);
    EXPECT_EQ(w.starts, 2);
}

// A provisioning request without an answer is repeated under its name by the next leader (an idempotent
// request): it provisions once, and is not forgotten.
TEST(Failover, RepeatsAnUnansweredProvisioningRequest) {
    StartedLeader w("rental_takeover");
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

// A failover long after provisioning: no machine has sent a heartbeat in the new term, and none is given
// up for that.
TEST(Failover, ReleasesNoRunningMachine) {
    StartedLeader w("takeover_keeps_machines", {"m-1"});
    w.pass(400);
    w.lead();
    w.book().listed({{"m-1", "", "g4", "a", false, model::MachineStatus::running, 400},
                     {"m-2", "", "g4", "a", false, model::MachineStatus::booting, 400}},
                    w.now);
    w.plan();
    EXPECT_TRUE(w.book().next_releases(w.now).empty());
    w.pass(2);
    w.meet("m-1");
    w.pass(14);
    w.checkin("m-1");
    w.plan();
    EXPECT_EQ(w.book().next_releases(w.now), std::vector<std::string>{"m-2"});
    w.release();
}

// Spot machines reclaimed between two leaders: their notice never reaches the new one. What the list does
// not show once its lag has passed is gone, and a release proves it without waiting for silence.
TEST(Failover, SpotMachineReclaimedBetweenTwoTermsIsReleased) {
    StartedLeader w("taken_between_terms");
    w.worker("m-1", "g4", "a", true);
    w.worker("m-2");
    w.meet("m-1");
    auto job = array_job("j-1", 1);
    job.spot_ok = true;
    w.run_job(job, "m-1");
    w.note("        m-1 is taken");
    w.lead();
    w.meet("m-2");
    w.run_job(array_job("j-2", 1), "m-2");
    const std::vector<model::ListedMachine> list{
        {"m-2", "", "g4", "a", false, model::MachineStatus::running, 400}};
    for (int i = 0; i < 5; ++i) {
        w.book().listed(list, w.now);
        w.plan();
        EXPECT_TRUE(w.book().next_releases(w.now).empty()) << "the list may be as old as twice its lag";
        w.pass(3);
        w.checkin("m-2");
    }
    w.pass(1);
    w.book().listed(list, w.now);
    w.plan();
    EXPECT_EQ(w.book().next_releases(w.now), std::vector<std::string>{"m-1"});
    w.release();
    w.decide();
    EXPECT_EQ(w.checkin("m-2").size(), 1U);
}

}  // namespace
}  // namespace pineroad::test
