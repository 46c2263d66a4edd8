#include "leadership/lease_guard.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::leadership {

namespace c = constants;

LeaseGuard::LeaseGuard(double cancellation_timeout_s, double worker_lease_s)
    : disconnected_grace_s_(std::max(cancellation_timeout_s - worker_lease_s - c::cancellation_margin_s,
                                     c::min_disconnected_grace_s)) {}

void LeaseGuard::lease_renewed(double sent_at) {
    constexpr double shortest_s = c::lease_ttl_ms / 1000.0 * (1 - c::max_clock_drift);
    lease_valid_until_ = std::max(lease_valid_until_, sent_at + shortest_s - c::lease_margin_s);
}

void LeaseGuard::confirm_cancellations_until(double sent_at) {
    cancellations_known_until_ = std::max(cancellations_known_until_, sent_at);
}

// Each peer reports all cancellations that its current process confirmed to users. If all these processes
// started before `cancellations_known_until_`, no earlier process of a peer can have confirmed a cancellation
// since then, and all cancellations are known up to the time when the oldest of the requests to the peers was
// sent. The latest time at which a peer's process can have started is the arrival of its response minus its
// uptime, which the peer measured with its own clock.
void LeaseGuard::apply_peer_confirmations(const std::vector<PeerConfirmation>& peers) {
    if (peers.empty() || cancellations_known_until_ < 0) return;
    double oldest_request = peers.front().request_sent_at;
    for (const auto& peer : peers) {
        const double started_by = peer.received_at - peer.uptime_s * (1 - c::max_clock_drift);
        if (peer.request_sent_at < 0 || !peer.confirms_cancellations ||
            started_by >= cancellations_known_until_)
            return;
        oldest_request = std::min(oldest_request, peer.request_sent_at);
    }
    confirm_cancellations_until(oldest_request);
}

// A peer's contact with the store proves nothing just because it is recent: in the first seconds of a store
// outage that is true of every controller. In a day-long load test a leader ended its term 4 s into an outage
// for this reason; no other controller could lead, and 3,800 tasks were stopped when their workers' leases
// expired.
bool LeaseGuard::store_serves_peer(double now, const store::StoreOutage& own_outage,
                                   const PeerStoreContact& peer) {
    return own_outage.since >= 0 && peer.request_sent_at >= now - c::recent_peer_contact_s &&
           peer.request_sent_at - peer.store_contact_age_s > own_outage.since &&
           own_outage.last_sent > peer.request_sent_at + c::peer_message_timeout_s;
}

// A leader whose lease may have expired keeps responding to heartbeats for a while, because nobody else can
// lead during a store outage. If it alone is cut off from the store, this would keep its workers from finding
// the leader that the others elect. It therefore ends its term once the store has served a peer after this
// lease must have expired, or after isolated_leader_grace_s if no peer responds. A peer that was served
// before the expiry proves nothing: if the store refuses first the leader and then everybody, the lease is
// still valid in the store and nobody else can lead. In the operators' day-long test a leader ended its term
// 3 s into such an outage, and thousands of tasks were stopped when their workers' leases expired.
bool LeaseGuard::is_isolated(double now, const store::StoreOutage& own_outage,
                             const std::vector<PeerStoreContact>& peers) const {
    if (peers.empty() || now < lease_valid_until_) return false;
    bool any_peer_responds = false;
    for (const auto& peer : peers) {
        const double served_at = peer.request_sent_at - peer.store_contact_age_s;
        if (store_serves_peer(now, own_outage, peer) &&
            served_at > lease_valid_until_ + c::lease_expiry_margin_s)
            return true;
        any_peer_responds |=
            peer.request_sent_at >= 0 && peer.request_sent_at >= now - c::recent_peer_contact_s;
    }
    return !any_peer_responds && now > lease_valid_until_ + c::isolated_leader_grace_s;
}

// A valid lease is not sufficient: a leader whose watches hang while its lease renewals succeed would never
// learn of a cancellation.
bool LeaseGuard::may_start_tasks(double now) const {
    return now < lease_valid_until_ && may_respond_to_heartbeats(now);
}

// The leader may respond to heartbeats without the lease, so that workers keep their tasks through a store
// outage. This is limited to the time during which a worker that receives its last response now would still
// stop its tasks before the timeout of a cancellation that is not known here.
bool LeaseGuard::may_respond_to_heartbeats(double now) const {
    return cancellations_known_until_ >= 0 && now < cancellations_known_until_ + disconnected_grace_s_;
}

}  // namespace pineroad::leadership
