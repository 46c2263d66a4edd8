// Measures how late the event loop runs: the sign that the process has too little processor time.
#pragma once

#include "net/http.hpp"

namespace pineroad::api {

// Measures by a timer how late it fires.
class EventLoopLagMonitor {
   public:
    // Measures every lag_sample_period_s. Never returns.
    net::awaitable<void> run();
    // Seconds by which timers lately fired late: rises at once, and falls as a moving average.
    [[nodiscard]] double lag_s() const { return lag_s_; }

   private:
    double lag_s_ = 0;
};

}  // namespace pineroad::api
