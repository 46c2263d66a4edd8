#include "leadership/lease_guard.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::leadership {

namespace c = constants;

LeaseGuard::LeaseGuard(double cancellation_timeout_s, double worker_lease_s)
    : disconnected_grace_s_(std::max(cancellation_timeout_s - worker_lease_s - c::cancellation_margin_s,
                                     c::min_disconnected_grace_s)) {}

void LeaseGuard::lease_renewed(double sent_at) {
    constexpr double shortest_s = c::lease_ttl_ms / 1000.0 * (1 - c::clock_drift);
    lease_valid_until_ = std::max(lease_valid_until_, sent_at + shortest_s - c::lease_margin_s);
}

void LeaseGuard::confirm_cancellations_until(double sent_at) {
    cancellations_known_until_ = std::max(cancellations_known_until_, sent_at);
}

// A peer confirms all cancellations that its present process confirmed to users. Those processes began before
// this controller's last proof, so nothing confirmed since by an earlier process is missing: as good as a
// proof of the moment the oldest of these messages was sent. A process began, at the latest, when its answer
// arrived less its uptime, which is by its own clock.
void LeaseGuard::apply_peer_confirmations(const std::vector<PeerConfirmation>& peers) {
    if (peers.empty() || cancellations_known_until_ < 0) return;
    double oldest_request = peers.front().requested_at;
    for (const auto& peer : peers) {
        const double started_by = peer.answered_at - peer.uptime_s * (1 - c::clock_drift);
        if (peer.requested_at < 0 || !peer.confirms_cancellations || started_by >= cancellations_known_until_)
            return;
        oldest_request = std::min(oldest_request, peer.requested_at);
    }
    confirm_cancellations_until(oldest_request);
}

// Contact that is only recent proves nothing: in the first seconds of an outage of the whole store, every
// controller's is (found in a day-long load test: a leader ended its term 4 s into an outage, nobody else
// could lead, and 3,800 tasks were stopped by the expiry of their workers' leases).
bool LeaseGuard::store_serves_peer(double now, const store::StoreRefusal& own_outage,
                                   const PeerStoreContact& peer) {
    return own_outage.since >= 0 && peer.contacted_at >= now - c::peer_contact_fresh_s &&
           peer.contacted_at - peer.store_contact_age_s > own_outage.since &&
           own_outage.last_sent > peer.contacted_at + c::peer_message_timeout_s;
}

// Without its lease a leader may answer heartbeats for a while, because in an outage of the store nobody else
// can lead. Cut off alone, it would keep its workers from the leader that the others elect: it ends its term
// once a peer was served after this lease must have expired, and soon when no peer answers. A peer served
// before that proves nothing: where the store refuses the leader alone and then everybody, its lease still
// lives there and nobody else can lead (found in the operators' day-long test: thousands of tasks were
// stopped by the expiry of worker leases, since the leader ended its term 3 s into the outage).
bool LeaseGuard::should_step_down(double now, const store::StoreRefusal& own_outage,
                                  const std::vector<PeerStoreContact>& peers) const {
    if (peers.empty() || now < lease_valid_until_) return false;
    bool any_peer_answers = false;
    for (const auto& peer : peers) {
        const double served_at = peer.contacted_at - peer.store_contact_age_s;
        if (store_serves_peer(now, own_outage, peer) &&
            served_at > lease_valid_until_ + c::lease_expiry_margin_s)
            return true;
        any_peer_answers |= peer.contacted_at >= 0 && peer.contacted_at >= now - c::peer_contact_fresh_s;
    }
    return !any_peer_answers && now > lease_valid_until_ + c::isolated_leader_grace_s;
}

// A lease alone is not enough: a leader whose watches hang while its renewals are answered would never learn
// of a cancellation.
bool LeaseGuard::may_start_tasks(double now) const {
    return now < lease_valid_until_ && may_answer_heartbeats(now);
}

// Without the lease heartbeats may be answered, so that workers keep their tasks through an outage of the
// store; but only while a worker whose last answer came now would still stop its tasks in time for a
// cancellation that is not known here.
bool LeaseGuard::may_answer_heartbeats(double now) const {
    return cancellations_known_until_ >= 0 && now < cancellations_known_until_ + disconnected_grace_s_;
}

}  // namespace pineroad::leadership
