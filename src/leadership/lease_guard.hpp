// What this node can prove about its right to act, from the times its own requests were sent. Pure arithmetic
// on the steady clock: docs/safety.md argues from it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::control {

class Proof {
   public:
    Proof(double cancel_s, double lease_s)
        : grace_s_(std::max(cancel_s - lease_s - constants::cancel_margin_s, constants::least_grace_s)) {}

    // A renewal was answered; it was sent at `sent`, and the lease cannot end before that plus its length.
    void renewed(double sent) {
        lease_until_ =
            std::max(lease_until_, sent + constants::lease_ttl_ms / 1000.0 * (1 - constants::clock_drift) -
                                       constants::lease_margin_s);
    }
    void restart() { lease_until_ = 0; }
    // Every cancellation told before `sent` is known here.
    void synced(double sent) { synced_ = std::max(synced_, sent); }

    // A peer's answer to a question sent at `asked_at`.
    struct Peer {
        double asked_at = -1, answered_at = -1;
        double up_s = 0;       // how long it had been running when it answered
        bool vouches = false;  // it named every cancellation it knew that our mirror did not hold
    };
    // A peer vouches for all that it told in its present life. Those lives began before our last proof, so
    // nothing told since by an earlier life is missing: as good as a proof of the moment the oldest of these
    // questions was sent. A life began by the answer's arrival less its length, by its own clock.
    void confirmed_by(const std::vector<Peer>& peers) {
        if (peers.empty() || synced_ < 0) return;
        double oldest = peers.front().asked_at;
        for (const auto& p : peers) {
            const double began_by = p.answered_at - p.up_s * (1 - constants::clock_drift);
            if (p.asked_at < 0 || !p.vouches || began_by >= synced_) return;
            oldest = std::min(oldest, p.asked_at);
        }
        synced(oldest);
    }

    // What a peer lately told of its own contact with the state service: the question was sent at `heard_at`.
    struct Contact {
        double heard_at = -1, state_age_s = 0;
    };
    // That this node is refused by the state service: when it first saw so since it was last served, and when
    // the latest request was sent that failed.
    struct Refusal {
        double since = -1, last_sent = -1;
    };
    // The peer was served after this node was refused, and this node is refused still. Contact that is only
    // young proves nothing: in the first seconds of an outage of all, every node's is (found by a day of
    // crowds: a leader let go 4 s into an outage, nobody else could lead, and 3,800 tasks met their lease).
    [[nodiscard]] static bool served_elsewhere(double now, const Refusal& own, const Contact& peer) {
        return own.since >= 0 && peer.heard_at >= now - constants::peer_fresh_s &&
               peer.heard_at - peer.state_age_s > own.since &&
               own.last_sent > peer.heard_at + constants::gossip_timeout_s;
    }
    // Without its lease a leader may answer for a while, because in an outage nobody else can lead. Cut off
    // alone, it would keep from its workers the leader that the others elect: it lets go once a peer was
    // served after this lease must have ended, and soon when no peer can be heard. A peer served before that
    // proves nothing: where the state service refuses the leader alone and then everybody, its lease still
    // lives there and nobody else can lead (found by the operators' day: thousands of tasks met their leases,
    // since the leader let them go 3 s into the outage).
    [[nodiscard]] bool should_let_go(double now, const Refusal& own,
                                     const std::vector<Contact>& peers) const {
        if (peers.empty() || now < lease_until_) return false;
        bool heard = false;
        for (const auto& p : peers) {
            if (served_elsewhere(now, own, p) &&
                p.heard_at - p.state_age_s > lease_until_ + constants::lease_end_s)
                return true;
            heard |= p.heard_at >= 0 && p.heard_at >= now - constants::peer_fresh_s;
        }
        return !heard && now > lease_until_ + constants::alone_s;
    }

    // A lease alone is not enough: a leader whose watches are stuck while its renewals go through would never
    // hear of a cancellation.
    [[nodiscard]] bool may_start(double now) const { return now < lease_until_ && may_answer(now); }
    // Without the lease reports may be answered, so that workers keep their tasks through an outage; but only
    // while a worker that hears us last now would still drop its tasks in time for a cancellation that we
    // have not heard of.
    [[nodiscard]] bool may_answer(double now) const { return synced_ >= 0 && now < synced_ + grace_s_; }

   private:
    double grace_s_;
    double lease_until_ = 0;
    double synced_ = -1;
};

}  // namespace pineroad::control
