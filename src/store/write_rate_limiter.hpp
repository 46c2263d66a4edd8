// The changes a second that the state service takes, as the leader sees them used. Others write too: every
// node accepts and cancels jobs, and the leader hears of each. A fixed share for the leader left a quarter of
// the budget unused on some days, and met refusals on others. Pure arithmetic.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/constants.hpp"

namespace pineroad::control {

class WriteBudget {
   public:
    void start(double per_s, double now) {
        rate_ = per_s * constants::write_share;
        tokens_ = rate_;
        at_ = now;
    }
    void by_others(std::size_t changes) { others_ += static_cast<double>(changes); }
    void spend(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
    void refused() { tokens_ = std::min(tokens_, 0.0); }

    // Until so many changes may be made.
    double wait_s(std::size_t changes, double now) {
        refill(now);
        return std::max(0.0, (static_cast<double>(changes) - tokens_) / (rate_ * constants::leader_keeps));
    }
    std::size_t available(double now) {
        refill(now);
        return static_cast<std::size_t>(std::max(0.0, tokens_));
    }

   private:
    void refill(double now) {
        const double gain = (now - at_) * rate_;
        at_ = now;
        const double taken = std::min(others_, gain * (1 - constants::leader_keeps));
        others_ = std::min(others_ - taken, rate_);  // a crowd is not held against the leader for ever
        tokens_ = std::min(rate_, tokens_ + gain - taken);
    }
    double rate_ = 1, tokens_ = 0, others_ = 0, at_ = 0;
};

}  // namespace pineroad::control
