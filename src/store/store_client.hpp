// Client of the consensus-backed key-value store. Every request passes through it, so that it knows when the
// store last served this controller, and since when it has refused it.
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

// The store refuses this controller: when it first did so since it last served it, and when the latest
// request was sent that failed. Seconds on the steady clock, -1: never.
struct StoreOutage {
    double since = -1, last_sent = -1;
};

// How the store answered a compare-and-swap transaction.
enum class CommitStatus {
    committed,
    unreadable,    // committed, but the answer does not hold a revision
    conflict,      // a condition did not hold
    malformed,     // never to be accepted as it is
    rate_limited,  // not executed
    unavailable,   // not executed
    unanswered     // it may have been executed, or may yet be
};

// The answer to a compare-and-swap transaction.
struct CommitResult {
    CommitStatus status = CommitStatus::unanswered;
    std::uint64_t revision = 0;  // when committed
    std::string body;            // of the answer, when it was not committed
};

// Whether a key was found.
enum class ReadStatus { found, absent, unavailable };

// The answer to the read of one key.
struct ReadResult {
    ReadStatus status = ReadStatus::unavailable;
    std::optional<wire::Row> row;  // when found; nothing if it can't be parsed
};

// Sends requests to the store and keeps account of their success.
class StoreClient {
   public:
    // `requests_per_s` is what the store serves to all `controllers` together.
    StoreClient(std::unique_ptr<net::Client> client, double requests_per_s, std::size_t controllers);

    // The answer, or nothing: then the request may or may not have been executed, and may yet be.
    net::awaitable<std::optional<net::Reply>> request(std::string method, std::string target,
                                                      std::string body = {},
                                                      double timeout_s = constants::store_timeout_s);
    // Sends an encoded transaction (wire::commit_request).
    net::awaitable<CommitResult> commit(std::string body, double timeout_s = constants::store_timeout_s);
    // Reads one key.
    net::awaitable<ReadResult> read(std::string key);
    // The events on all keys of this service after the revision, without waiting for one. Nothing if the
    // request failed.
    net::awaitable<std::optional<wire::WatchEvents>> events_since(std::uint64_t revision);

    // When the latest request was sent that the store has answered; -1: none.
    [[nodiscard]] double last_contact_s() const { return last_contact_s_; }
    // Whether the store served this controller within store_contact_fresh_s.
    [[nodiscard]] bool recently_served() const;
    // Since the last contact.
    [[nodiscard]] const StoreOutage& outage() const { return outage_; }
    // Seconds between requests of one kind, so that all controllers together keep to its share of what the
    // store serves.
    [[nodiscard]] double pacing_interval_s(double share) const;

   private:
    std::unique_ptr<net::Client> client_;
    const double requests_per_s_;
    const std::size_t controllers_;
    double last_contact_s_ = -1;
    StoreOutage outage_;
};

}  // namespace pineroad::store
