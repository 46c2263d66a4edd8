// Records of the leader and of the latest term.
//
//   pr/live/leader   {"node": controller, "token": fencing token, "lease": the controller's lease,
//                     "nonce": random number of the election attempt}
//   pr/live/term     {"token": latest fencing token}
//
// Parsers return std::nullopt for a malformed value, which callers treat as absent.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// The current leader. If the response to an election attempt is lost, the random nonce tells the controller
// whether the record was written by that attempt.
struct Leader {
    std::string node;
    std::uint64_t fencing_token = 0, lease = 0, nonce = 0;
};

// Returns the leader's record.
Json leader_json(const Leader& leader);
// Parses the leader's record.
std::optional<Leader> parse_leader(const Json& value);

// Returns the record of the latest fencing token.
Json term_json(std::uint64_t fencing_token);
// Parses the record of the latest fencing token.
std::optional<std::uint64_t> parse_term(const Json& value);

}  // namespace pineroad::wire::records
