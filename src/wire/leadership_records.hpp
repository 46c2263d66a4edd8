// Records of leadership.
//
//   pr/live/leader   {"node": controller, "token": fencing token, "lease": its lease,
//                     "nonce": random number of its election}
//   pr/live/term     {"token": last fencing token}
//
// Readers give nothing if the value is malformed: it then counts as absent.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Who leads. The random nonce tells the controller's own attempts apart when an answer was lost.
struct Leader {
    std::string node;
    std::uint64_t fencing_token = 0, lease = 0, nonce = 0;
};

// The leader's record.
Json leader_json(const Leader& leader);
// The reverse; nothing if malformed.
std::optional<Leader> parse_leader(const Json& value);

// Record of the last fencing token.
Json term_json(std::uint64_t fencing_token);
// The reverse; nothing if malformed.
std::optional<std::uint64_t> parse_term(const Json& value);

}  // namespace pineroad::wire::records
