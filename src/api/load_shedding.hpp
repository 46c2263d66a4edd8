// Rejects users' requests temporarily when this controller is overloaded or can't reach the store. Heartbeats
// are never rejected.
#pragma once

#include <cstddef>
#include <random>
#include <string_view>

#include "api/event_loop_lag.hpp"
#include "net/http.hpp"
#include "net/scoped_count.hpp"
#include "store/store_client.hpp"

namespace pineroad::api {

// Counts users' requests in flight and makes the responses that reject further ones.
class LoadShedding {
   public:
    // All of these must outlive the object.
    LoadShedding(const store::StoreClient& store, const EventLoopLagMonitor& event_loop_lag,
                 std::mt19937_64& random);

    // Returns whether another submission must be rejected.
    [[nodiscard]] bool submissions_overloaded() const;
    // Returns whether another cancellation must be rejected. Cancellations are accepted at a higher
    // event loop lag than submissions.
    [[nodiscard]] bool cancellations_overloaded() const;
    // Returns whether another poll must be rejected.
    [[nodiscard]] bool polls_overloaded() const;
    // Counts a submission or a cancellation as in flight for the lifetime of the result.
    [[nodiscard]] net::ScopedCount count_submission() { return net::ScopedCount(submissions_); }
    // Counts a poll as in flight for the lifetime of the result.
    [[nodiscard]] net::ScopedCount count_poll() { return net::ScopedCount(polls_); }

    // Returns a 503 response with Retry-After and the reason.
    net::Response reject(std::string_view reason);
    // Returns the rejection used when the store does not respond.
    net::Response reject_unavailable() { return reject("state service unavailable"); }
    // Returns the rejection used when this controller is overloaded.
    net::Response reject_overloaded();
    // Returns the rejection used when the connection limit is reached.
    net::Response reject_no_connection();

    // Returns a random number of seconds for Retry-After.
    int retry_after_s();
    // Returns whether to close the connection of a rejected user.
    [[nodiscard]] bool closes_connection() const { return !store_.recently_served(); }

   private:
    const store::StoreClient& store_;
    const EventLoopLagMonitor& event_loop_lag_;
    std::mt19937_64& random_;
    std::size_t submissions_ = 0, polls_ = 0;
};

}  // namespace pineroad::api
