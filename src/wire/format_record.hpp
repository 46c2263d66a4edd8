// Record of the format that records may be written in.
//
//   pr/live/format   {"format": number, "controllers": [names of the controllers that were seen to read it]}
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// The record format that this version reads and, once every controller does, writes. Version 0.4 knows 1
// only.
inline constexpr std::uint64_t record_format = 2;

// Record of the controllers that read this version's format.
Json format_json(const std::set<std::string>& controllers);
// The reverse; nothing if it is malformed or of an earlier format.
std::optional<std::set<std::string>> parse_format(const Json& value);

}  // namespace pineroad::wire::records
