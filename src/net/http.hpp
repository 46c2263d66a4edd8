// Plain requests and replies, so that the rest of the code needs no HTTP library.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"

namespace pineroad::net {

namespace asio = boost::asio;
using asio::awaitable;

struct Request {
    std::string method, target, body;
};

struct Reply {
    int status = 0;
    std::string body;
    int retry_after_s = 0;  // 0: no header
    bool close = false;
    bool too_large = false;  // there was an answer, but more of it than is taken
};

// The steady clock and the time of day; tests put simulated ones in their place, and step them.
struct Clock {
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;
    inline static std::optional<time_point> simulated;
    static time_point now() {
        return simulated ? *simulated : time_point(std::chrono::steady_clock::now().time_since_epoch());
    }
    static std::int64_t wall_ms() {
        const auto since =
            simulated
                ? simulated->time_since_epoch()
                : std::chrono::duration_cast<duration>(std::chrono::system_clock::now().time_since_epoch());
        return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    }
};
// The real clock stands still for a simulated one: timers are looked at in every turn instead.
struct ClockTraits {
    static Clock::duration to_wait_duration(const Clock::duration& d) {
        return Clock::simulated ? Clock::duration::zero() : d;
    }
    static Clock::duration to_wait_duration(const Clock::time_point& t) {
        return to_wait_duration(t - Clock::now());
    }
};
using Timer = asio::basic_waitable_timer<Clock, ClockTraits>;

// Whoever can be asked over HTTP.
class Client {
   public:
    virtual ~Client() = default;
    // The answer, or nothing: then the request may or may not have been executed, and may yet be.
    virtual awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                                    double timeout_s) = 0;
};
using Connect = std::function<std::unique_ptr<Client>(const config::Endpoint&)>;

inline std::chrono::steady_clock::duration seconds(double s) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(s));
}

awaitable<void> sleep_for(double s);

}  // namespace pineroad::net
