// Leader election. Each term has a fencing token, which increases monotonically. A controller wins a term by
// a compare-and-swap on the leader record and holds it with a lease in the store.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "leadership/leadership_state.hpp"
#include "leadership/lease_guard.hpp"
#include "leadership/term.hpp"
#include "net/http.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::leadership {

// What this controller's peers last reported.
class PeerView {
   public:
    virtual ~PeerView() = default;
    // Returns each peer's contact with the store, one entry per peer.
    [[nodiscard]] virtual std::vector<PeerStoreContact> store_contacts() const = 0;
    // Returns whether any peer has recently received heartbeats from workers.
    [[nodiscard]] virtual bool heartbeats_reach_peer() const = 0;
};

// Work that a controller does while it leads. The election calls this interface when a term begins and ends.
class LeaderDelegate {
   public:
    virtual ~LeaderDelegate() = default;
    // Builds the leader's state from the watch cache, which holds everything that earlier terms committed.
    // Returns false if the cache does not hold all the data that the state needs.
    virtual bool prepare(const std::shared_ptr<Term>& term) = 0;
    // Starts the loops of the prepared term.
    virtual void start_term() = 0;
    // Returns when the latest heartbeat of the current term was applied (seconds, steady clock).
    [[nodiscard]] virtual double last_heartbeat_s() const = 0;
    // Called when the term has ended or its preparation has failed.
    virtual void end_term() = 0;
};

// Wins terms for this controller and renews the lease of the current one.
class Election {
   public:
    // References that the election uses. All of them must outlive it.
    struct Dependencies {
        store::StoreClient& store;
        store::WatchCache& watch_cache;
        store::LinearizableRead& linearizable_read;
        LeaseGuard& lease_guard;
        LeadershipState& state;
        const PeerView& peers;
        LeaderDelegate& leader_delegate;
        std::mt19937_64& random;
    };
    // `name` is this controller's name in the settings.
    Election(std::string name, const Dependencies& dependencies);
    // Campaigns whenever there is no leader, and leads when elected. Never returns.
    net::awaitable<void> run();

   private:
    // Waits while there is a leader. If the leader record was written by an earlier process of this
    // controller, revokes the lease of that process.
    net::awaitable<void> follow();
    // Tries to win a new term. Returns nullptr if the term was not won.
    net::awaitable<std::shared_ptr<Term>> campaign();
    // Writes the leader record. Returns its revision, or 0 if the term was not won or the outcome is not
    // known.
    net::awaitable<std::uint64_t> claim_leadership(const TermIdentity& identity);
    // Runs a won term until it ends.
    net::awaitable<void> lead(std::shared_ptr<Term> term);
    // Loads the leader's state. Returns false if the term ended first or the state could not be built.
    net::awaitable<bool> load_state(std::shared_ptr<Term> term);
    // Renews the lease until the term has ended, and ends the term when this controller has to step down.
    net::awaitable<void> renew_lease(std::shared_ptr<Term> term);
    // Returns why the term must end, or nothing if it may continue.
    [[nodiscard]] std::optional<EndReason> step_down_reason(const Term& term) const;
    // Revokes a lease before it expires.
    net::awaitable<void> revoke_lease(std::uint64_t lease);

    const std::string name_;
    store::StoreClient& store_;
    store::WatchCache& watch_cache_;
    store::LinearizableRead& linearizable_read_;
    LeaseGuard& lease_guard_;
    LeadershipState& state_;
    const PeerView& peers_;
    LeaderDelegate& leader_delegate_;
    std::mt19937_64& random_;
    double backoff_until_ = -1;
};

}  // namespace pineroad::leadership
