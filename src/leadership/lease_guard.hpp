// Determines what this controller may safely do, from the send times of its own requests. Pure arithmetic on
// the steady clock (all times in seconds); the argument in docs/safety.md depends on it.
#pragma once

#include <vector>

#include "store/store_client.hpp"

namespace pineroad::leadership {

// A peer's response, received at `received_at`, to a message that was sent at `request_sent_at`.
struct PeerConfirmation {
    double request_sent_at = -1, received_at = -1;
    double uptime_s = 0;  // of the peer's process when it responded
    // Whether the response lists every cancellation known to the peer that is newer than the revision of this
    // controller's watch cache.
    bool confirms_cancellations = false;
};

// What a peer last reported about its contact with the store, in response to a message sent at
// `request_sent_at`.
struct PeerStoreContact {
    double request_sent_at = -1, store_contact_age_s = 0;
};

// Tracks until when the lease and the knowledge of cancellations are proven valid, and decides what the
// controller may do.
class LeaseGuard {
   public:
    // Takes the cancellation timeout of the settings and the length of a worker's lease.
    LeaseGuard(double cancellation_timeout_s, double worker_lease_s);

    // Records that the store confirmed the lease in response to a request sent at `sent_at`. The lease can't
    // expire before that time plus its length.
    void lease_renewed(double sent_at);
    // Clears the validity of the previous lease when a new one was granted: nothing is proven about the
    // new lease yet.
    void reset_lease() { lease_valid_until_ = 0; }
    // Records that this controller knows every cancellation confirmed to a user before `sent_at`.
    void confirm_cancellations_until(double sent_at);
    // Records that all cancellations confirmed before the oldest of the peers' `request_sent_at` are known,
    // if the latest responses of all peers together prove it.
    void apply_peer_confirmations(const std::vector<PeerConfirmation>& peers);

    // Returns whether the store served the peer after it had begun to refuse this controller, and still
    // refuses this controller.
    [[nodiscard]] static bool store_serves_peer(double now, const store::StoreOutage& own_outage,
                                                const PeerStoreContact& peer);
    // Returns whether this controller alone appears to be cut off from the store and its lease may have
    // expired. The leader then ends its term, so that its workers find the next leader.
    [[nodiscard]] bool is_isolated(double now, const store::StoreOutage& own_outage,
                                   const std::vector<PeerStoreContact>& peers) const;
    // Returns whether the leader may start tasks and do everything else that requires the lease.
    [[nodiscard]] bool may_start_tasks(double now) const;
    // Returns whether the leader may respond to heartbeats; each response extends the lease of a worker.
    [[nodiscard]] bool may_respond_to_heartbeats(double now) const;

   private:
    double disconnected_grace_s_;
    double lease_valid_until_ = 0;
    double cancellations_known_until_ = -1;
};

}  // namespace pineroad::leadership
