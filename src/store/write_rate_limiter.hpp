// Limits the leader's writes to the store's limit of changes per second, with a token bucket that holds one
// second's changes. Every controller writes, since each accepts and cancels jobs, and the leader sees those
// changes through its watch. The leader's share is what the others leave: a fixed share left a quarter of the
// limit unused on some days and was rejected by the store on others. The caller passes in the time.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/constants.hpp"

namespace pineroad::store {

// Token bucket in which a token is one change (one key written or deleted). Times are seconds on the steady
// clock.
class WriteRateLimiter {
   public:
    // Starts with a full bucket. `changes_per_s` is the store's limit.
    void start(double changes_per_s, double now) {
        changes_per_s_ = changes_per_s * constants::store_write_share;
        tokens_ = changes_per_s_;
        refilled_at_s_ = now;
    }
    // Records changes that other controllers were seen to make.
    void record_writes_of_others(std::size_t changes) { other_writes_ += static_cast<double>(changes); }
    // Records changes that the leader sent.
    void record_writes(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
    // Empties the bucket after the store rejected a transaction for its rate.
    void record_rate_limited() { tokens_ = std::min(tokens_, 0.0); }

    // Returns the seconds until this many changes may be sent; 0: now. Assumes the minimum refill reserved
    // for the leader.
    double delay_s(std::size_t changes, double now) {
        refill(now);
        const double missing = static_cast<double>(changes) - tokens_;
        return std::max(0.0, missing / (changes_per_s_ * constants::leader_reserved_write_share));
    }
    // Returns the number of changes that may be sent now.
    std::size_t available(double now) {
        refill(now);
        return static_cast<std::size_t>(std::max(0.0, tokens_));
    }

   private:
    // Adds the tokens accrued since the last refill, less those that other controllers used.
    void refill(double now) {
        const double refill_tokens = (now - refilled_at_s_) * changes_per_s_;
        refilled_at_s_ = now;
        const double used_by_others =
            std::min(other_writes_, refill_tokens * (1 - constants::leader_reserved_write_share));
        // The cap limits the delay that a burst of submissions causes for the leader to about a second.
        other_writes_ = std::min(other_writes_ - used_by_others, changes_per_s_);
        tokens_ = std::min(changes_per_s_, tokens_ + refill_tokens - used_by_others);
    }

    double changes_per_s_ = 1;  // changes per second for all controllers together
    double tokens_ = 0;         // changes that may be sent now; below 0 after a batch larger than the bucket
    double other_writes_ = 0;   // changes of other controllers not yet deducted from a refill
    double refilled_at_s_ = 0;  // steady clock
};

}  // namespace pineroad::store
