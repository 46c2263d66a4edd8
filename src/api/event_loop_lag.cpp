#include "api/event_loop_lag.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "store/steady_time.hpp"

namespace pineroad::api {

net::awaitable<void> EventLoopLagMonitor::run() {
    for (;;) {
        const double due = store::steady_now_s() + constants::lag_sample_period_s;
        co_await net::sleep_for(constants::lag_sample_period_s);
        const double late = std::max(0.0, store::steady_now_s() - due);
        lag_s_ = late > lag_s_ ? late : 0.8 * lag_s_ + 0.2 * late;
    }
}

}  // namespace pineroad::api
