// What this controller knows of leadership: its own term, if it holds one, and the latest term of any
// controller that it has seen.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "leadership/lease_guard.hpp"
#include "leadership/term.hpp"
#include "net/notification.hpp"
#include "store/watch_cache_observer.hpp"

namespace pineroad::leadership {

// The present knowledge of who leads.
class LeadershipState final : public store::WatchCacheObserver {
   public:
    // The guard must outlive the object.
    explicit LeadershipState(LeaseGuard& lease_guard) : lease_guard_(lease_guard) {}

    // A fencing token was seen, and the controller that holds its term (empty: unknown). A greater one ends
    // the own term.
    void observe_token(std::uint64_t fencing_token, const std::string& leader);
    // The own term begins.
    void begin_term(std::shared_ptr<Term> term);
    // The own term is over and nothing refers to it as the present one any more.
    void clear_term() { term_.reset(); }

    // The greatest fencing token that was seen.
    [[nodiscard]] std::uint64_t highest_token() const { return highest_token_; }
    // ... or that of the own term, if it is greater.
    [[nodiscard]] std::uint64_t advertised_token() const;
    // Who holds the term of the greatest token; empty: unknown.
    [[nodiscard]] const std::string& known_leader() const { return known_leader_; }
    // Notified when the leader's record goes, when a term ends, and when the watch cache was loaded.
    net::Notification& changed() { return changed_; }

    // --- store::WatchCacheObserver ---
    // A proof for the lease guard.
    void cache_current_at(double sent_at) override { lease_guard_.confirm_cancellations_until(sent_at); }
    // An election may be held.
    void cache_loaded() override { changed_.notify(); }
    // Ends the own term: its state is built on the cache.
    void cache_lost() override;
    // Observes its token.
    void leader_seen(const wire::records::Leader& leader) override;
    // Wakes the election or the own term's commits.
    void watch_applied(bool leader_removed) override;
    // Whether there is an own term.
    [[nodiscard]] bool leads() const override { return term_ != nullptr; }

   private:
    LeaseGuard& lease_guard_;
    std::shared_ptr<Term> term_;
    std::uint64_t highest_token_ = 0;
    std::string known_leader_;
    net::Notification changed_;
};

}  // namespace pineroad::leadership
