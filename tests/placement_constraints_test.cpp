// Quotas, one zone, spread: constraints that count what may still run unseen.
#include "world.hpp"

namespace pineroad::test {
namespace {

// The quota counts what may still run on machines without a heartbeat in this term.
TEST(PlacementConstraints, QuotaCountsUnknownTasks) {
    StartedLeader w("team_limit", {"m-1"});
    w.worker("m-2");
    auto job = array_job("j-1", 3);
    job.team = "capped";  // 2 GPUs
    w.run_job(job, "m-1");
    EXPECT_EQ(w.starts, 2);
    w.lead();
    w.meet("m-2");
    w.decide("m-2");
    EXPECT_EQ(w.starts, 2);
}

// One zone counts tasks on machines without a heartbeat too: until such a machine's zone is known, no
// zone is allowed.
TEST(PlacementConstraints, OneZoneCountsUnknownTasks) {
    StartedLeader w("together");
    w.worker("m-1", "g4", "a");
    w.worker("m-2", "g4", "b");
    w.meet("m-1");
    auto job = array_job("j-1", 5);
    job.one_zone = true;
    w.run_job(job, "m-1");
    EXPECT_EQ(w.starts, 4);
    w.meet("m-2");
    w.decide("m-2");
    EXPECT_EQ(w.starts, 4);
    w.lead();
    w.meet("m-2");
    w.decide("m-2");
    EXPECT_EQ(w.starts, 4);
}

// Of a spread job at most half, rounded up, is placed in one zone.
TEST(PlacementConstraints, SpreadPlacesAtMostHalfInOneZone) {
    StartedLeader w("spread");
    w.worker("m-1", "g4", "a");
    w.meet("m-1");
    auto job = array_job("j-1", 3);
    job.spread = true;
    w.run_job(job, "m-1");
    EXPECT_EQ(w.starts, 2);
    w.worker("m-2", "g4", "b");
    w.meet("m-2");
    w.run_placed_tasks("m-2");
    EXPECT_EQ(w.starts, 3);
}

}  // namespace
}  // namespace pineroad::test
