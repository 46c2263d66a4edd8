// leadership::LeaseGuard: what a controller may still do according to its own clock.
#include "leadership/lease_guard.hpp"

#include <gtest/gtest.h>

namespace pineroad::test {
namespace {

// A leader whose lease has expired steps down when the store serves a peer but not this leader, or when no
// peer responds. It does not step down while the store is down for all controllers.
TEST(LeaseGuard, LeaderPartitionedAloneStepsDown) {
    leadership::LeaseGuard guard(66, 36);
    guard.confirm_cancellations_until(100);
    guard.lease_renewed(100);  // valid until 104.5
    const store::StoreOutage outage{101, 106};
    EXPECT_FALSE(guard.is_isolated(104, outage, {{103, 0.5}, {-1, 0}}));
    // The store served the peer after this controller's outage began, but possibly before the lease expired.
    // The store may since have failed for all controllers, and then no other controller can lead.
    EXPECT_FALSE(guard.is_isolated(106.1, outage, {{105, 0.5}, {-1, 0}}));
    EXPECT_TRUE(guard.is_isolated(107, {101, 106.95}, {{106, 0.2}, {-1, 0}}));
    // The store has served neither peer since this controller's outage began: it is down for all controllers.
    EXPECT_FALSE(guard.is_isolated(110, {101, 109.9}, {{109, 9}, {109, 8}}));
    // No peer has responded lately, but the grace period of 4 s lasts until 108.5.
    EXPECT_FALSE(guard.is_isolated(108, {101, 107.9}, {{100, 0.5}, {-1, 0}}));
    EXPECT_TRUE(guard.is_isolated(109, {101, 108.9}, {{100, 0.5}, {-1, 0}}));
    EXPECT_FALSE(guard.is_isolated(200, outage, {}));  // there is no other controller
    // A peer's contact with the store shortly before an outage for all controllers proves nothing, however
    // recent it is: the store served the peer before this controller's outage began.
    EXPECT_FALSE(guard.is_isolated(105, {102, 104.9}, {{103.5, 1.6}, {103.6, 1.7}}));
    // A contact shortly after the outage proves nothing either: this controller's next request may succeed,
    // too.
    EXPECT_FALSE(guard.is_isolated(130, {102, 129.7}, {{129.6, 0.1}, {129.6, 0.1}}));
}

// A lease starts when its renewal request was sent. Without a valid lease, no task starts.
TEST(LeaseGuard, LeaseCountsFromWhenItsRenewalWasSent) {
    leadership::LeaseGuard guard(66, 36);
    guard.confirm_cancellations_until(100);
    EXPECT_FALSE(guard.may_start_tasks(100));
    guard.lease_renewed(100);
    EXPECT_TRUE(guard.may_start_tasks(104.4));
    EXPECT_FALSE(guard.may_start_tasks(104.5));
    guard.lease_renewed(99);  // a late response to an earlier request does not extend the lease
    EXPECT_FALSE(guard.may_start_tasks(104.5));
}

// Renewals may succeed while watches hang. Such a leader learns of no cancellation, so it may neither start
// tasks nor answer heartbeats.
TEST(LeaseGuard, LeaseWithoutCurrentWatchAllowsNothing) {
    leadership::LeaseGuard guard(66, 36);
    guard.confirm_cancellations_until(100);
    guard.lease_renewed(126);
    EXPECT_FALSE(guard.may_start_tasks(126));
    EXPECT_FALSE(guard.may_respond_to_heartbeats(126));
    guard.confirm_cancellations_until(126);
    EXPECT_TRUE(guard.may_start_tasks(127));
}

// Without the store, the leader may respond to heartbeats only while a cancellation confirmed by another
// controller can still take effect in time: cancel_s (66) less lease_s (36) less the margin of 4 s, counted
// from the last proof that all confirmed cancellations are known.
TEST(LeaseGuard, HeartbeatResponsesEndBeforeTheCancellationTimeout) {
    leadership::LeaseGuard guard(66, 36);
    EXPECT_FALSE(guard.may_respond_to_heartbeats(0));
    guard.lease_renewed(100);
    guard.confirm_cancellations_until(100);
    EXPECT_TRUE(guard.may_respond_to_heartbeats(125.9));
    EXPECT_FALSE(guard.may_respond_to_heartbeats(126));
    // Responses of all peers that list every cancellation they confirmed are as good a proof as the store.
    guard.apply_peer_confirmations({{120, 120.1, 500, true}, {121, 121.1, 500, true}});
    EXPECT_TRUE(guard.may_respond_to_heartbeats(145.9));
    EXPECT_FALSE(guard.may_respond_to_heartbeats(146));
}

// A peer that restarted since the last proof no longer knows what it confirmed. A peer that does not respond
// may have confirmed any cancellation.
TEST(LeaseGuard, RestartedOrSilentPeerConfirmsNothing) {
    leadership::LeaseGuard guard(66, 36);
    guard.confirm_cancellations_until(100);
    guard.apply_peer_confirmations({{120, 120.1, 500, true}, {121, 121.1, 5, true}});
    EXPECT_FALSE(guard.may_respond_to_heartbeats(126));
    guard.apply_peer_confirmations({{120, 120.1, 500, true}, {-1, -1, 0, true}});
    EXPECT_FALSE(guard.may_respond_to_heartbeats(126));
    guard.apply_peer_confirmations({{120, 120.1, 500, true}, {121, 121.1, 500, false}});
    EXPECT_FALSE(guard.may_respond_to_heartbeats(126));
    // The peer restarted within a second: the message was sent before the new process started, and the
    // response came from the new process. Cancellations that the earlier process confirmed in between are
    // lost.
    guard.apply_peer_confirmations({{120, 120.1, 500, true}, {99.5, 100.4, 0.2, true}});
    EXPECT_FALSE(guard.may_respond_to_heartbeats(126));
    // The peer's clock may run fast: a process that reports an uptime of 500 s may have started half a second
    // later than that.
    guard.confirm_cancellations_until(120);
    guard.apply_peer_confirmations({{620, 620.1, 900, true}, {619.8, 619.9, 500, true}});
    EXPECT_FALSE(guard.may_respond_to_heartbeats(146));
}

}  // namespace
}  // namespace pineroad::test
