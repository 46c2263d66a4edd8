// Record of a job that ended.
//
//   pr/final/ID   {"f": "done" or "cancelled", "at": time of day in milliseconds (since version 0.5)}
#pragma once

#include <optional>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// The outcome's record.
Json outcome_json(const model::JobOutcome& outcome);
// The reverse; nothing if malformed.
std::optional<model::JobOutcome> parse_outcome(const Json& value);

}  // namespace pineroad::wire::records
