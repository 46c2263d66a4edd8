#include "api/event_loop_lag.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "store/steady_time.hpp"

namespace pineroad::api {

net::awaitable<void> EventLoopLagMonitor::run() {
    for (;;) {
        const double due_at = store::steady_now_s() + constants::lag_sample_period_s;
        co_await net::sleep_for(constants::lag_sample_period_s);
        const double late_s = std::max(0.0, store::steady_now_s() - due_at);
        lag_s_ = late_s > lag_s_ ? late_s : 0.8 * lag_s_ + 0.2 * late_s;
    }
}

}  // namespace pineroad::api
