// Record of a finished job.
//
//   pr/final/ID   {"f": "done" or "cancelled", "at": time of day in milliseconds (since version 0.5)}
#pragma once

#include <optional>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Returns the record of the outcome.
Json outcome_json(const model::JobOutcome& outcome);
// Parses the record. Returns std::nullopt if it is malformed.
std::optional<model::JobOutcome> parse_outcome(const Json& value);

}  // namespace pineroad::wire::records
