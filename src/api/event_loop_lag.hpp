// Measures the lag of the event loop, which indicates that the process has too little processor time.
#pragma once

#include "net/http.hpp"

namespace pineroad::api {

// Measures how late a periodic timer fires.
class EventLoopLagMonitor {
   public:
    // Measures every lag_sample_period_s. Never returns.
    net::awaitable<void> run();
    // Returns the recent lag of the timer in seconds. It rises immediately and falls as a moving average.
    [[nodiscard]] double lag_s() const { return lag_s_; }

   private:
    double lag_s_ = 0;
};

}  // namespace pineroad::api
