// Paces the leader's writes to the store's limit of changes per second: a token bucket of one second's
// changes. Every controller writes, since each accepts and cancels jobs, and the leader sees those changes by
// its watch. A fixed share for the leader left a quarter of the limit unused on some days, and met refusals
// on others, so the leader's share is what the others leave. Pure arithmetic on the steady clock.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/constants.hpp"

namespace pineroad::store {

// A token bucket: a token is one change (one key written or deleted). Times are seconds of the steady clock.
class WriteRateLimiter {
   public:
    // Starts with a full bucket, at a limit of so many changes per second.
    void start(double changes_per_s, double now) {
        changes_per_s_ = changes_per_s * constants::write_share;
        tokens_ = changes_per_s_;
        refilled_at_s_ = now;
    }
    // Other controllers were seen to make so many changes.
    void record_writes_of_others(std::size_t changes) { other_writes_ += static_cast<double>(changes); }
    // The leader sent so many changes.
    void record_writes(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
    // The store refused a transaction for its rate: nothing is left of the bucket.
    void record_rate_limited() { tokens_ = std::min(tokens_, 0.0); }

    // Seconds until so many changes may be sent; 0: now. Assumes the least refill that the leader is sure of.
    double delay_s(std::size_t changes, double now) {
        refill(now);
        const double missing = static_cast<double>(changes) - tokens_;
        return std::max(0.0, missing / (changes_per_s_ * constants::leader_reserved_share));
    }
    // The number of changes that may be sent now.
    std::size_t available(double now) {
        refill(now);
        return static_cast<std::size_t>(std::max(0.0, tokens_));
    }

   private:
    // Adds the tokens of the time since the last refill, less what other controllers used of them.
    void refill(double now) {
        const double refill_tokens = (now - refilled_at_s_) * changes_per_s_;
        refilled_at_s_ = now;
        const double used_by_others =
            std::min(other_writes_, refill_tokens * (1 - constants::leader_reserved_share));
        // A burst of submissions delays the leader for a second or so, not for as long as it takes to repay
        // it.
        other_writes_ = std::min(other_writes_ - used_by_others, changes_per_s_);
        tokens_ = std::min(changes_per_s_, tokens_ + refill_tokens - used_by_others);
    }

    double changes_per_s_ = 1;  // changes per second for all controllers together
    double tokens_ = 0;         // changes that may be sent now; below 0 after a batch larger than the bucket
    double other_writes_ = 0;   // changes of other controllers that the refill has not accounted for yet
    double refilled_at_s_ = 0;  // steady clock
};

}  // namespace pineroad::store
