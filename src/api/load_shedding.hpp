// Turns users away, for a while, when this controller has too much to do or can't reach the store. Heartbeats
// are never turned away.
#pragma once

#include <cstddef>
#include <random>
#include <string_view>

#include "api/event_loop_lag.hpp"
#include "net/http.hpp"
#include "net/scoped_count.hpp"
#include "store/store_client.hpp"

namespace pineroad::api {

// Counts users' requests under way and makes the answers that reject more.
class LoadShedding {
   public:
    // All of these must outlive the object.
    LoadShedding(const store::StoreClient& store, const EventLoopLagMonitor& event_loop_lag,
                 std::mt19937_64& random);

    // Whether another submission or cancellation is too much.
    [[nodiscard]] bool submissions_overloaded() const;
    // Whether another cancellation is too much: it is refused later than a submission.
    [[nodiscard]] bool cancellations_overloaded() const;
    // Whether another poll is too much.
    [[nodiscard]] bool polls_overloaded() const;
    // Counts a submission or a cancellation while the result lives.
    [[nodiscard]] net::ScopedCount count_submission() { return net::ScopedCount(submissions_); }
    // Counts a poll while the result lives.
    [[nodiscard]] net::ScopedCount count_poll() { return net::ScopedCount(polls_); }

    // 503 with Retry-After and the reason.
    net::Reply reject(std::string_view reason);
    // ... because the store can't tell the answer.
    net::Reply reject_unavailable() { return reject("state service unavailable"); }
    // ... because there is too much to do.
    net::Reply reject_overloaded();
    // ... because no connection is free.
    net::Reply reject_no_connection();

    // A random number of seconds for Retry-After.
    int retry_after_s();
    // Whether a rejected user's connection is to be closed.
    [[nodiscard]] bool closes_connection() const { return !store_.recently_served(); }

   private:
    const store::StoreClient& store_;
    const EventLoopLagMonitor& event_loop_lag_;
    std::mt19937_64& random_;
    std::size_t submissions_ = 0, polls_ = 0;
};

}  // namespace pineroad::api
