// Time: one clock for timers and for the time of day, which tests replace by a simulated one.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "net/awaitable.hpp"

namespace pineroad::net {

// The steady clock and the time of day; tests put simulated ones in their place, and step them.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
    // The time that tests set; nothing: the real clocks count. Asio calls a clock's static functions only.
    inline static std::optional<time_point> simulated_now;  // NOLINT: not constant, for the tests
    // The steady clock's time.
    static time_point now() {
        return simulated_now ? *simulated_now
                             : time_point(std::chrono::steady_clock::now().time_since_epoch());
    }
    // The time of day in milliseconds since 1970.
    static std::int64_t wall_ms() {
        const auto since_epoch =
            simulated_now
                ? simulated_now->time_since_epoch()
                : std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
        return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    }
};

// How long a timer sleeps before it looks at the clock again. The real clock stands still for a simulated
// one: timers are looked at in every turn instead.
struct ClockTraits {
    // Of a duration.
    static Clock::duration to_wait_duration(const Clock::duration& duration) {
        return Clock::simulated_now ? Clock::duration::zero() : duration;
    }
    // Of the time until then.
    static Clock::duration to_wait_duration(const Clock::time_point& time) {
        return to_wait_duration(time - Clock::now());
    }
};
using Timer = asio::basic_waitable_timer<Clock, ClockTraits>;

// A number of seconds in the steady clock's units.
inline std::chrono::steady_clock::duration seconds(double duration_s) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(duration_s));
}

// Suspends the coroutine for so many seconds.
awaitable<void> sleep_for(double duration_s);

}  // namespace pineroad::net
