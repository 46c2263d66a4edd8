// What this controller knows about leadership: its own term, if it holds one, and the latest term of any
// controller that it has observed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "leadership/lease_guard.hpp"
#include "leadership/term.hpp"
#include "net/notification.hpp"
#include "store/watch_cache_observer.hpp"

namespace pineroad::leadership {

// Tracks the current leader.
class LeadershipState final : public store::WatchCacheObserver {
   public:
    // `lease_guard` must outlive the object.
    explicit LeadershipState(LeaseGuard& lease_guard) : lease_guard_(lease_guard) {}

    // Records an observed fencing token and the controller that holds its term (empty: unknown). A token
    // higher than that of this controller's own term ends that term.
    void observe_token(std::uint64_t fencing_token, const std::string& leader);
    // Does the same for a token that a worker or a peer reported. Ignores a token that no controller can have
    // issued (constants::max_token_lead): the next term would need a higher one.
    void observe_reported_token(std::uint64_t fencing_token, const std::string& leader);
    // Sets this controller's own term.
    void begin_term(std::shared_ptr<Term> term);
    // Clears this controller's own term after it has ended.
    void clear_term() { term_.reset(); }

    // Returns the highest fencing token that was observed.
    [[nodiscard]] std::uint64_t highest_token() const { return highest_token_; }
    // Returns the highest fencing token that was observed, or the token of this controller's own active term
    // if that is higher.
    [[nodiscard]] std::uint64_t advertised_token() const;
    // Returns the controller that holds the term of the highest token; empty if it is unknown.
    [[nodiscard]] const std::string& known_leader() const { return known_leader_; }
    // Notified when the leader record is removed, when a term ends, and when the watch cache has been loaded.
    net::Notification& changed() { return changed_; }

    // --- store::WatchCacheObserver ---
    // Tells the lease guard that all cancellations confirmed before `sent_at` are known.
    void on_cache_current(double sent_at) override { lease_guard_.confirm_cancellations_until(sent_at); }
    // Wakes the election.
    void on_cache_loaded() override { changed_.notify(); }
    // Ends this controller's own term, because its state is built on the cache.
    void on_cache_lost() override;
    // Records the fencing token of the leader record.
    void on_leader_seen(const wire::records::Leader& leader) override;
    // Wakes the election if the leader record was removed, and the commit loop of this controller's own term.
    void on_watch_applied(bool leader_removed) override;
    // Returns whether this controller holds a term.
    [[nodiscard]] bool is_leader() const override { return term_ != nullptr; }

   private:
    LeaseGuard& lease_guard_;
    std::shared_ptr<Term> term_;
    std::uint64_t highest_token_ = 0;
    std::string known_leader_;
    net::Notification changed_;
};

}  // namespace pineroad::leadership
