// The interface to the consensus-backed key-value store (the protocol's state service): reads, watches,
// compare-and-swap transactions and leases.
//
//   wire name               term
//   /store                  rows, one by key or a page by prefix
//   /commit                 compare-and-swap transaction
//   /follow                 watch
//   /leases, touch          leases, renewal of one (keep-alive)
//   Key, Value, Stamp       key, value, mod revision: the revision of the key's latest change
//   Epoch                   revision of the store
//   Permit, TtlMs           lease, its time to live in milliseconds
//   Rows, Truncated         rows of a page, more follow
//   Events, Write, Drop     watch events: key that was put, key that was removed
//   When                    conditions of a transaction: keys and their mod revisions
//   Apply, Write, Drop      changes of a transaction: key to put, key to remove
//   failed                  keys whose conditions were not met
//   Under, Since, Page      prefix, after this key or revision, at most so many rows
//   BlockMs                 how long a watch without events blocks, in milliseconds
//
// Each reader gives nothing if the answer is malformed; its caller then asks again, as after no answer.
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

// A key with its value. `mod_revision` is that of its latest change.
struct Row {
    std::string key;
    Json value;
    std::uint64_t mod_revision = 0;
};

// One page of rows in the order of their keys.
struct Rows {
    std::vector<Row> rows;
    bool truncated = false;      // more follow
    std::uint64_t revision = 0;  // of the store when it was read
};

// A key that was put or removed.
struct WatchEvent {
    std::string key;
    std::optional<Json> value;  // nothing: removed
    std::uint64_t mod_revision = 0;
};

// Every change after the revision that the watch named, in their order.
struct WatchEvents {
    std::vector<WatchEvent> events;
    std::uint64_t revision = 0;  // up to which these are all
};

// A transaction is applied only if the key's mod revision is this one.
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;  // 0: must not exist
};

// A put or a removal.
struct Change {
    std::string key;
    std::optional<Json> value;           // nothing: remove
    std::optional<std::uint64_t> lease;  // attaches the key to it; nothing detaches it
};

// Compare-and-swap: all changes under one revision, if all conditions hold. Without changes it only compares.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};

// Target of the request for one row. The key's slashes stay as they are.
std::string row_target(std::string_view key);

// Target of a request for at most `page_size` rows with the prefix after a key, or, if that is empty, from
// the first on.
std::string row_list_target(std::string_view prefix, std::string_view after, int page_size);

// Target of a watch of the prefix after a revision; it blocks for at most so long (0: not at all).
std::string watch_target(std::string_view prefix, std::uint64_t after_revision, int block_ms);

// Body of a commit.
std::string commit_request(const Transaction& transaction);

// The store's revision in an answer; nothing if malformed.
std::optional<std::uint64_t> parse_revision(std::string_view body);

// The keys that made a transaction fail. Empty if malformed: that says of no key that it failed.
std::vector<std::string> parse_failed_conditions(std::string_view body);

// One row; nothing if malformed.
std::optional<Row> parse_row(std::string_view body);

// A page of rows; nothing if malformed.
std::optional<Rows> parse_rows(std::string_view body);

// The events of a watch; nothing if malformed.
std::optional<WatchEvents> parse_watch_events(std::string_view body);

// Body of a request for a lease.
std::string lease_request(int ttl_ms);

// The lease that was granted; nothing if malformed.
std::optional<std::uint64_t> parse_lease(std::string_view body);

// Target of the lease's renewal.
std::string renew_lease_target(std::uint64_t lease);

// Target of the lease itself: DELETE ends it.
std::string lease_target(std::uint64_t lease);

}  // namespace pineroad::wire
