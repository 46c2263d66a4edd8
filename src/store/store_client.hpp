// Client of the consensus-backed key-value store. Every request passes through it, so that it knows when the
// store last served this controller, and since when requests have failed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config/constants.hpp"
#include "net/http.hpp"
#include "wire/protocol.hpp"

namespace pineroad::store {

// Failures since the store last served this controller: the time of the first one, and the time at which the
// latest failed request was sent. Seconds on the steady clock; -1: none.
struct StoreOutage {
    double since = -1, last_sent = -1;
};

// Result of sending a compare-and-swap transaction.
enum class CommitStatus {
    committed,
    unreadable,    // committed, but the response contains no valid revision
    conflict,      // a condition did not hold
    malformed,     // the same transaction will never be accepted
    rate_limited,  // not executed
    unavailable,   // not executed
    no_response    // may have been executed, or may be executed later
};

// Status of a compare-and-swap transaction, and the content of the response.
struct CommitResult {
    CommitStatus status = CommitStatus::no_response;
    std::uint64_t revision = 0;  // when committed
    std::string body;            // of the response, when not committed
};

// Whether a key was found.
enum class ReadStatus { found, absent, unavailable };

// Result of reading one key.
struct ReadResult {
    ReadStatus status = ReadStatus::unavailable;
    std::optional<wire::Row> row;  // when found; empty if it cannot be parsed
};

// Sends requests to the store and tracks when it served them.
class StoreClient {
   public:
    // `requests_per_s` is the rate at which the store serves all `controllers` together.
    StoreClient(std::unique_ptr<net::Client> client, double requests_per_s, std::size_t controllers);

    // Sends a request and returns the response. Returns nothing if no response arrived; the request may then
    // have been executed, or may be executed later.
    net::awaitable<std::optional<net::Response>> request(std::string method, std::string target,
                                                         std::string body = {},
                                                         double timeout_s = constants::store_timeout_s);
    // Sends an encoded transaction (wire::commit_request).
    net::awaitable<CommitResult> commit(std::string body, double timeout_s = constants::store_timeout_s);
    // Reads one key.
    net::awaitable<ReadResult> read(std::string key);
    // Returns the events on all keys of this service after the revision, without waiting for new ones, or
    // nothing if the request failed.
    net::awaitable<std::optional<wire::WatchEvents>> events_since(std::uint64_t revision);

    // Returns the time at which the latest request that the store has served was sent; -1: none.
    [[nodiscard]] double last_contact_s() const { return last_contact_s_; }
    // Returns whether the store served this controller within the last recent_store_contact_s seconds.
    [[nodiscard]] bool recently_served() const;
    // Returns the failures since the store last served this controller.
    [[nodiscard]] const StoreOutage& outage() const { return outage_; }
    // Returns the interval, in seconds, between requests of one kind that keeps all controllers together
    // within this share of the store's request rate.
    [[nodiscard]] double pacing_interval_s(double share) const;

   private:
    std::unique_ptr<net::Client> client_;
    const double requests_per_s_;
    const std::size_t controllers_;
    double last_contact_s_ = -1;
    StoreOutage outage_;
};

}  // namespace pineroad::store
