// Clock for timers and for the time of day, which tests can replace with a simulated one.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "net/awaitable.hpp"

namespace pineroad::net {

// Steady clock for Asio timers that also returns the time of day. Tests set and advance a simulated time.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
    // Simulated time, set by tests; without a value the real clocks are used. Static because Asio calls only
    // static functions of a clock.
    inline static std::optional<time_point> simulated_now;  // NOLINT: mutable, for tests
    // Returns the steady clock's time.
    static time_point now() {
        return simulated_now ? *simulated_now
                             : time_point(std::chrono::steady_clock::now().time_since_epoch());
    }
    // Returns the time of day in milliseconds since the Unix epoch.
    static std::int64_t wall_ms() {
        const auto since_epoch =
            simulated_now
                ? simulated_now->time_since_epoch()
                : std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
        return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    }
};

// Asio's wait traits: how long the event loop may block before it checks a timer again. A duration of real
// time says nothing about simulated time, so with a simulated clock timers are checked on every iteration.
struct ClockTraits {
    // Returns the time to block for a timer that expires after `duration`.
    static Clock::duration to_wait_duration(const Clock::duration& duration) {
        return Clock::simulated_now ? Clock::duration::zero() : duration;
    }
    // Returns the time to block for a timer that expires at `time`.
    static Clock::duration to_wait_duration(const Clock::time_point& time) {
        return to_wait_duration(time - Clock::now());
    }
};
using Timer = asio::basic_waitable_timer<Clock, ClockTraits>;

// Converts seconds to a duration of the steady clock.
inline std::chrono::steady_clock::duration seconds(double duration_s) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(duration_s));
}

// Suspends the calling coroutine for `duration_s` seconds.
awaitable<void> sleep_for(double duration_s);

}  // namespace pineroad::net
