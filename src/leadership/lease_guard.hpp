// What this node can prove about its right to act, from the times its own requests were sent. Pure arithmetic
// on the steady clock: docs/safety.md argues from it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::leadership {

class LeaseGuard {
   public:
    LeaseGuard(double cancellation_timeout_s, double worker_lease_s)
        : grace_s_(std::max(cancellation_timeout_s - worker_lease_s - constants::cancellation_margin_s,
                            constants::min_disconnected_grace_s)) {}

    // A renewal was answered; it was sent at `sent`, and the lease cannot end before that plus its length.
    void renewed(double sent) {
        lease_until_ =
            std::max(lease_until_, sent + constants::lease_ttl_ms / 1000.0 * (1 - constants::clock_drift) -
                                       constants::lease_margin_s);
    }
    void restart() { lease_until_ = 0; }
    // Every cancellation told before `sent` is known here.
    void cancellations_known_until(double sent) {
        cancellations_known_until_ = std::max(cancellations_known_until_, sent);
    }

    // A peer's answer to a question sent at `asked_at`.
    struct Peer {
        double requested_at = -1, answered_at = -1;
        double uptime_s = 0;  // how long it had been running when it answered
        bool confirms_cancellations =
            false;  // it named every cancellation it knew that our mirror did not hold
    };
    // A peer vouches for all that it told in its present life. Those lives began before our last proof, so
    // nothing told since by an earlier life is missing: as good as a proof of the moment the oldest of these
    // questions was sent. A life began by the answer's arrival less its length, by its own clock.
    void confirm_by_peers(const std::vector<Peer>& peers) {
        if (peers.empty() || cancellations_known_until_ < 0) return;
        double oldest = peers.front().requested_at;
        for (const auto& p : peers) {
            const double began_by = p.answered_at - p.uptime_s * (1 - constants::clock_drift);
            if (p.requested_at < 0 || !p.confirms_cancellations || began_by >= cancellations_known_until_)
                return;
            oldest = std::min(oldest, p.requested_at);
        }
        cancellations_known_until(oldest);
    }

    // What a peer lately told of its own contact with the state service: the question was sent at `heard_at`.
    struct Contact {
        double contacted_at = -1, store_contact_age_s = 0;
    };
    // That this node is refused by the state service: when it first saw so since it was last served, and when
    // the latest request was sent that failed.
    struct Refusal {
        double since = -1, last_sent = -1;
    };
    // The peer was served after this node was refused, and this node is refused still. Contact that is only
    // young proves nothing: in the first seconds of an outage of all, every node's is (found by a day of
    // crowds: a leader let go 4 s into an outage, nobody else could lead, and 3,800 tasks met their lease).
    [[nodiscard]] static bool store_serves_peer(double now, const Refusal& own, const Contact& peer) {
        return own.since >= 0 && peer.contacted_at >= now - constants::peer_contact_fresh_s &&
               peer.contacted_at - peer.store_contact_age_s > own.since &&
               own.last_sent > peer.contacted_at + constants::peer_message_timeout_s;
    }
    // Without its lease a leader may answer for a while, because in an outage nobody else can lead. Cut off
    // alone, it would keep from its workers the leader that the others elect: it lets go once a peer was
    // served after this lease must have ended, and soon when no peer can be heard. A peer served before that
    // proves nothing: where the state service refuses the leader alone and then everybody, its lease still
    // lives there and nobody else can lead (found by the operators' day: thousands of tasks met their leases,
    // since the leader let them go 3 s into the outage).
    [[nodiscard]] bool should_step_down(double now, const Refusal& own,
                                        const std::vector<Contact>& peers) const {
        if (peers.empty() || now < lease_until_) return false;
        bool heard = false;
        for (const auto& p : peers) {
            if (store_serves_peer(now, own, p) &&
                p.contacted_at - p.store_contact_age_s > lease_until_ + constants::lease_expiry_margin_s)
                return true;
            heard |= p.contacted_at >= 0 && p.contacted_at >= now - constants::peer_contact_fresh_s;
        }
        return !heard && now > lease_until_ + constants::isolated_leader_grace_s;
    }

    // A lease alone is not enough: a leader whose watches are stuck while its renewals go through would never
    // hear of a cancellation.
    [[nodiscard]] bool may_start(double now) const {
        return now < lease_until_ && may_answer_heartbeats(now);
    }
    // Without the lease reports may be answered, so that workers keep their tasks through an outage; but only
    // while a worker that hears us last now would still drop its tasks in time for a cancellation that we
    // have not heard of.
    [[nodiscard]] bool may_answer_heartbeats(double now) const {
        return cancellations_known_until_ >= 0 && now < cancellations_known_until_ + grace_s_;
    }

   private:
    double grace_s_;
    double lease_until_ = 0;
    double cancellations_known_until_ = -1;
};

}  // namespace pineroad::leadership
