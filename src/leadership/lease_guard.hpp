// What this controller can prove about its right to act, from the times its own requests were sent. Pure
// arithmetic on the steady clock (all times in seconds): docs/safety.md argues from it.
#pragma once

#include <vector>

#include "store/store_client.hpp"

namespace pineroad::leadership {

// A peer's answer to a message that was sent at `requested_at`.
struct PeerConfirmation {
    double requested_at = -1, answered_at = -1;
    double uptime_s = 0;  // how long it had been running when it answered
    // It named every cancellation known to it that this controller's watch cache did not hold.
    bool confirms_cancellations = false;
};

// What a peer last said of its own contact with the store, in answer to a message sent at `contacted_at`.
struct PeerStoreContact {
    double contacted_at = -1, store_contact_age_s = 0;
};

// Keeps the proofs and decides what they allow.
class LeaseGuard {
   public:
    // The settings' time-out of a cancellation and the length of a worker's lease.
    LeaseGuard(double cancellation_timeout_s, double worker_lease_s);

    // The store confirmed the lease in answer to a request sent at `sent_at`: the lease can't expire before
    // that plus its length.
    void lease_renewed(double sent_at);
    // A new lease is asked for: nothing is proven for it yet.
    void reset_lease() { lease_valid_until_ = 0; }
    // Every cancellation confirmed to a user before `sent_at` is known here.
    void confirm_cancellations_until(double sent_at);
    // Counts the latest answers of all peers as such a proof, if they amount to one.
    void apply_peer_confirmations(const std::vector<PeerConfirmation>& peers);

    // The peer was served by the store after this controller was refused, and this one is refused still.
    [[nodiscard]] static bool store_serves_peer(double now, const store::StoreRefusal& own_outage,
                                                const PeerStoreContact& peer);
    // Whether a leader without a provable lease should end its term, so that its workers find the next one.
    [[nodiscard]] bool should_step_down(double now, const store::StoreRefusal& own_outage,
                                        const std::vector<PeerStoreContact>& peers) const;
    // Whether tasks may be started, and whatever else needs the lease.
    [[nodiscard]] bool may_start_tasks(double now) const;
    // Whether heartbeats may be answered, which extends the workers' leases.
    [[nodiscard]] bool may_answer_heartbeats(double now) const;

   private:
    double disconnected_grace_s_;
    double lease_valid_until_ = 0;
    double cancellations_known_until_ = -1;
};

}  // namespace pineroad::leadership
