// The protocol of the consensus-backed key-value store (the "state service"): reads, watches,
// compare-and-swap transactions and leases.
//
//   wire name               term
//   /store                  rows: one by key, or a page by prefix
//   /commit                 compare-and-swap transaction
//   /follow                 watch
//   /leases, touch          leases, renewal of a lease (keep-alive)
//   Key, Value, Stamp       key, value, mod revision (the revision of the key's latest change)
//   Epoch                   revision of the store
//   Permit, TtlMs           lease, its time to live in milliseconds
//   Rows, Truncated         rows of a page, whether more follow
//   Events, Write, Drop     watch events: key that was put, key that was removed
//   When                    conditions of a transaction: keys and their mod revisions
//   Apply, Write, Drop      changes of a transaction: key to put, key to remove
//   failed                  keys whose conditions were not met
//   Under, Since, Page      prefix, key or revision to start after, page size
//   BlockMs                 longest time that a watch waits for events, in milliseconds
//
// Parsers return std::nullopt for a malformed response unless stated otherwise; callers then retry as after a
// missing response.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json_reader.hpp"

namespace pineroad::wire {

inline constexpr std::string_view commit_path = "/commit";
inline constexpr std::string_view leases_path = "/leases";

// A key with its value. `mod_revision` is the revision of its latest change.
struct Row {
    std::string key;
    Json value;
    std::uint64_t mod_revision = 0;
};

// One page of rows, sorted by key.
struct Rows {
    std::vector<Row> rows;
    bool has_more = false;       // whether more rows follow
    std::uint64_t revision = 0;  // of the store at the time of the read
};

// A key that was put or removed.
struct WatchEvent {
    std::string key;
    std::optional<Json> value;  // no value: the key was removed
    std::uint64_t mod_revision = 0;
};

// All changes after the revision given in the watch request, in order.
struct WatchEvents {
    std::vector<WatchEvent> events;
    std::uint64_t revision = 0;  // the events are complete up to this revision
};

// Requires the key's mod revision to have this value for the transaction to be applied.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;  // 0: the key must not exist
};

// A put or removal of one key.
struct Change {
    std::string key;
    std::optional<Json> value;           // no value: remove the key
    std::optional<std::uint64_t> lease;  // lease to attach the key to; no value detaches it
};

// Compare-and-swap: applies all changes under one revision if all conditions hold. Without changes it only
// checks the conditions.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};

// Returns the target of a request for one row. Slashes in the key are not escaped.
std::string row_target(std::string_view key);

// Returns the target of a request for at most `page_size` rows with the prefix, starting after the key
// `after`, or with the first one if `after` is empty.
std::string row_list_target(std::string_view prefix, std::string_view after, int page_size);

// Returns the target of a watch for changes under the prefix after a revision. The watch waits for events for
// at most `block_ms` (0: not at all).
std::string watch_target(std::string_view prefix, std::uint64_t after_revision, int block_ms);

// Returns the body of a request to commit the transaction.
std::string commit_request(const Transaction& transaction);

// Returns the store's revision in a response.
std::optional<std::uint64_t> parse_revision(std::string_view body);

// Returns the keys whose conditions made a transaction fail. The list is empty if the response is malformed,
// so an empty list does not mean that all conditions held.
std::vector<std::string> parse_failed_conditions(std::string_view body);

// Parses one row.
std::optional<Row> parse_row(std::string_view body);

// Parses a page of rows.
std::optional<Rows> parse_rows(std::string_view body);

// Parses the response to a watch.
std::optional<WatchEvents> parse_watch_events(std::string_view body);

// Returns the body of a request for a lease.
std::string lease_request(int ttl_ms);

// Returns the id of the lease that was granted.
std::optional<std::uint64_t> parse_lease(std::string_view body);

// Returns the target of a request to renew the lease.
std::string renew_lease_target(std::uint64_t lease);

// Returns the target of the lease itself; a DELETE request revokes it.
std::string lease_target(std::uint64_t lease);

}  // namespace pineroad::wire
