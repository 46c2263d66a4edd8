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
        rate_ = changes_per_s * constants::store_write_share;
        tokens_ = rate_;
        refilled_at_ = now;
    }
    // Other controllers were seen to make so many changes.
    void record_writes_of_others(std::size_t changes) { others_ += static_cast<double>(changes); }
    // The leader sent so many changes.
    void record_writes(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
    // The store refused a transaction for its rate: nothing is left of the bucket.
    void refused() { tokens_ = std::min(tokens_, 0.0); }

    // Seconds until so many changes may be sent; 0: now. Assumes the least refill that the leader is sure of.
    double delay_s(std::size_t changes, double now) {
        refill(now);
        const double missing = static_cast<double>(changes) - tokens_;
        return std::max(0.0, missing / (rate_ * constants::leader_reserved_write_share));
    }
    // The number of changes that may be sent now.
    std::size_t available(double now) {
        refill(now);
        return static_cast<std::size_t>(std::max(0.0, tokens_));
    }

   private:
    // Adds the tokens of the time since the last refill, less what other controllers used of them.
    void refill(double now) {
        const double gain = (now - refilled_at_) * rate_;
        refilled_at_ = now;
        const double taken = std::min(others_, gain * (1 - constants::leader_reserved_write_share));
        // A burst of submissions delays the leader for a second or so, not for as long as it takes to repay
        // it.
        others_ = std::min(others_ - taken, rate_);
        tokens_ = std::min(rate_, tokens_ + gain - taken);
    }

    double rate_ = 1;         // changes per second for all controllers together
    double tokens_ = 0;       // changes that may be sent now; below 0 after a batch larger than the bucket
    double others_ = 0;       // changes of other controllers that the refill has not accounted for yet
    double refilled_at_ = 0;  // steady clock
};

}  // namespace pineroad::store
