// Elections: a term is a fencing token that only ever grows, won by a compare-and-swap on the leader record
// and held by a lease of the store.
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

// What the peers last said of themselves.
class PeerView {
   public:
    virtual ~PeerView() = default;
    // Their contact with the store, one entry for each peer.
    [[nodiscard]] virtual std::vector<PeerStoreContact> store_contacts() const = 0;
    // Whether workers' heartbeats lately reached some peer.
    [[nodiscard]] virtual bool heartbeats_reach_peer() const = 0;
};

// The work of a leader; the election tells it when to begin and to end.
class LeaderDelegate {
   public:
    virtual ~LeaderDelegate() = default;
    // Builds the leader's state from the watch cache, which holds everything that earlier terms committed.
    // False: the cache does not hold all that the state needs.
    virtual bool prepare(const std::shared_ptr<Term>& term) = 0;
    // Starts the loops of the term that was prepared.
    virtual void start_term() = 0;
    // When the latest heartbeat was applied in the present term (seconds, steady clock).
    [[nodiscard]] virtual double last_heartbeat() const = 0;
    // The term is over, or its preparation failed.
    virtual void end_term() = 0;
};

// Wins terms for this controller and keeps them.
class Election {
   public:
    // What an election works with; all of it must outlive the election.
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
    // Stands for election whenever there is no leader, and leads when elected. Never returns.
    net::awaitable<void> run();

   private:
    // Waits while there is a leader; ends the lease of an earlier process of this controller.
    net::awaitable<void> follow();
    // The term, or null if it was not won.
    net::awaitable<std::shared_ptr<Term>> campaign();
    // Writes the leader record. Its revision, or 0 if it may be of another controller.
    net::awaitable<std::uint64_t> claim_leadership(const TermIdentity& identity);
    // From the won term to its end.
    net::awaitable<void> lead(std::shared_ptr<Term> term);
    // False: the term ended before, or the state could not be built.
    net::awaitable<bool> load_state(std::shared_ptr<Term> term);
    // Renews the lease until the term is over.
    net::awaitable<void> renew_lease(std::shared_ptr<Term> term);
    // Nothing: the term goes on.
    [[nodiscard]] std::optional<EndReason> step_down_reason(const Term& term) const;
    // Ends a lease before it expires.
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
