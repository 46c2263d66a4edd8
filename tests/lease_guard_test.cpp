// What a controller may still do by its own clock: control::Proof.
#include "leadership/lease_guard.hpp"

#include <gtest/gtest.h>

namespace pineroad::test {
namespace {

// A leader without its lease steps down when a peer is served by the store and it is not, or when no peer
// answers; not in an outage of all.
TEST(LeaseGuard, LeaderPartitionedAloneStepsDown) {
    leadership::LeaseGuard guard(66, 36);
    guard.cancellations_known_until(100);
    guard.renewed(100);  // good until 104.5
    const store::StoreRefusal outage{101, 106};
    EXPECT_FALSE(guard.should_step_down(104, outage, {{103, 0.5}, {-1, 0}}));
    // Served after we were refused, but while our lease may still have lived: an outage of all may have begun
    // since, in which nobody else can lead.
    EXPECT_FALSE(guard.should_step_down(106.1, outage, {{105, 0.5}, {-1, 0}}));
    EXPECT_TRUE(guard.should_step_down(107, {101, 106.95}, {{106, 0.2}, {-1, 0}}));
    EXPECT_FALSE(guard.should_step_down(110, {101, 109.9}, {{109, 9}, {109, 8}}));
    EXPECT_FALSE(guard.should_step_down(108, {101, 107.9}, {{100, 0.5}, {-1, 0}}));  // old news
    EXPECT_TRUE(guard.should_step_down(109, {101, 108.9}, {{100, 0.5}, {-1, 0}}));
    EXPECT_FALSE(guard.should_step_down(200, outage, {}));  // nobody else could lead
    // A peer's contact just before an outage of all is no proof, however young: served before we were
    // refused.
    EXPECT_FALSE(guard.should_step_down(105, {102, 104.9}, {{103.5, 1.6}, {103.6, 1.7}}));
    // Nor is its contact just after: our next request may be served as well.
    EXPECT_FALSE(guard.should_step_down(130, {102, 129.7}, {{129.6, 0.1}, {129.6, 0.1}}));
}

// A lease counts from when its renewal was sent; without it nothing starts.
TEST(LeaseGuard, LeaseCountsFromWhenItsRenewalWasSent) {
    leadership::LeaseGuard guard(66, 36);
    guard.cancellations_known_until(100);
    EXPECT_FALSE(guard.may_start(100));
    guard.renewed(100);
    EXPECT_TRUE(guard.may_start(104.4));
    EXPECT_FALSE(guard.may_start(104.5));
    guard.renewed(99);  // an answer that comes late proves nothing new
    EXPECT_FALSE(guard.may_start(104.5));
}

// Renewals may go through while watches hang: such a leader learns of no cancellation and has to stop.
TEST(LeaseGuard, LeaseWithoutCurrentWatchAllowsNothing) {
    leadership::LeaseGuard guard(66, 36);
    guard.cancellations_known_until(100);
    guard.renewed(126);
    EXPECT_FALSE(guard.may_start(126));
    EXPECT_FALSE(guard.may_answer_heartbeats(126));
    guard.cancellations_known_until(126);
    EXPECT_TRUE(guard.may_start(127));
}

// Heartbeats may be answered without the store only while a cancellation that another controller
// confirmed can still be met: cancel_s 66 less lease_s 36 less the margin of 4 after the last proof.
TEST(LeaseGuard, HeartbeatResponsesEndBeforeTheCancellationTimeout) {
    leadership::LeaseGuard guard(66, 36);
    EXPECT_FALSE(guard.may_answer_heartbeats(0));
    guard.renewed(100);
    guard.cancellations_known_until(100);
    EXPECT_TRUE(guard.may_answer_heartbeats(125.9));
    EXPECT_FALSE(guard.may_answer_heartbeats(126));
    // Every peer names all it confirmed: as good as the store.
    guard.confirm_by_peers({{120, 120.1, 500, true}, {121, 121.1, 500, true}});
    EXPECT_TRUE(guard.may_answer_heartbeats(145.9));
    EXPECT_FALSE(guard.may_answer_heartbeats(146));
}

// A peer that was restarted since the last proof no longer knows what it confirmed; one that does not
// answer may confirm anything.
TEST(LeaseGuard, RestartedOrSilentPeerConfirmsNothing) {
    leadership::LeaseGuard guard(66, 36);
    guard.cancellations_known_until(100);
    guard.confirm_by_peers({{120, 120.1, 500, true}, {121, 121.1, 5, true}});
    EXPECT_FALSE(guard.may_answer_heartbeats(126));
    guard.confirm_by_peers({{120, 120.1, 500, true}, {-1, -1, 0, true}});
    EXPECT_FALSE(guard.may_answer_heartbeats(126));
    guard.confirm_by_peers({{120, 120.1, 500, true}, {121, 121.1, 500, false}});
    EXPECT_FALSE(guard.may_answer_heartbeats(126));
    // Back within a second: the question left before the new process began, the answer came after. What the
    // earlier process confirmed in between is known to nobody.
    guard.confirm_by_peers({{120, 120.1, 500, true}, {99.5, 100.4, 0.2, true}});
    EXPECT_FALSE(guard.may_answer_heartbeats(126));
    // Its clock may run fast: an uptime of 500 s by it may have begun half a second later than it says.
    guard.cancellations_known_until(120);
    guard.confirm_by_peers({{620, 620.1, 900, true}, {619.8, 619.9, 500, true}});
    EXPECT_FALSE(guard.may_answer_heartbeats(146));
}

}  // namespace
}  // namespace pineroad::test
