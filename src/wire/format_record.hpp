// Record of the controllers that read the current record format.
//
//   pr/live/format   {"format": number, "controllers": [names of the controllers known to read it]}
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Current record format, the latest that this version reads. Records are written in it only once every
// controller is known to read it: version 0.4 reads only format 1.
inline constexpr std::uint64_t record_format = 2;

// Returns the record of the controllers that read this version's format.
Json format_json(const std::set<std::string>& controllers);
// Parses the record. Returns std::nullopt if it is malformed or of an earlier format.
std::optional<std::set<std::string>> parse_format(const Json& value);

}  // namespace pineroad::wire::records
