// Team quotas, one-zone and spread constraints. They count tasks that may still run on machines
// without a heartbeat.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

// The quota counts tasks that may still run on machines without a heartbeat in this term.
TEST(PlacementConstraints, QuotaCountsUnknownTasks) {
    StartedLeader simulator("quota_unknown_tasks", {"m-1"});
    simulator.add_worker("m-2");
    auto job = array_job("j-1", 3);
    job.team = "capped";  // its quota is 2 GPUs
    simulator.run_job(job, "m-1");
    EXPECT_EQ(simulator.starts, 2);
    simulator.begin_term();
    simulator.synchronize_worker("m-2");
    simulator.plan_and_commit("m-2");
    EXPECT_EQ(simulator.starts, 2);
}

// The one-zone constraint also counts tasks on machines without a heartbeat in this term: until the zone of
// such a machine is known, no zone is allowed.
TEST(PlacementConstraints, OneZoneCountsUnknownTasks) {
    StartedLeader simulator("one_zone");
    simulator.add_worker("m-1", "g4", "a");
    simulator.add_worker("m-2", "g4", "b");
    simulator.synchronize_worker("m-1");
    auto job = array_job("j-1", 5);
    job.same_zone = true;
    simulator.run_job(job, "m-1");
    EXPECT_EQ(simulator.starts, 4);
    simulator.synchronize_worker("m-2");
    simulator.plan_and_commit("m-2");
    EXPECT_EQ(simulator.starts, 4);
    simulator.begin_term();
    simulator.synchronize_worker("m-2");
    simulator.plan_and_commit("m-2");
    EXPECT_EQ(simulator.starts, 4);
}

// At most half of the tasks of a spread job, rounded up, are placed in one zone.
TEST(PlacementConstraints, SpreadPlacesAtMostHalfInOneZone) {
    StartedLeader simulator("spread");
    simulator.add_worker("m-1", "g4", "a");
    simulator.synchronize_worker("m-1");
    auto job = array_job("j-1", 3);
    job.spread = true;
    simulator.run_job(job, "m-1");
    EXPECT_EQ(simulator.starts, 2);
    simulator.add_worker("m-2", "g4", "b");
    simulator.synchronize_worker("m-2");
    simulator.run_placed_tasks("m-2");
    EXPECT_EQ(simulator.starts, 3);
}

}  // namespace
}  // namespace pineroad::test
