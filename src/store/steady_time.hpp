// The clock for leases, timeouts and rate limits.
#pragma once

#include <chrono>

#include "net/http.hpp"

namespace pineroad::store {

// Returns the time of the steady clock in seconds since an arbitrary start. Tests simulate it through
// net::Clock.
inline double steady_now_s() {
    return std::chrono::duration<double>(net::Clock::now().time_since_epoch()).count();
}

}  // namespace pineroad::store
