// Record of the progress of a job or of one of its shards, stored as an entry of a segment
// (segment_record.hpp).
//
//   {"d": [[first, last], ...] ranges of completed tasks, "r": [[task, attempt, machine], ...] placements,
//    "n": next attempt, "c": true if the entry covers only one shard,
//    "s": run time in seconds saved by checkpoints, "w": resources of each task, "t": team}
//
// "s", "w" and "t" apply to the whole job: only the entry of shard 0 contains them.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Identifies the entry of a job, or of one shard of its tasks. The stored name is "ID" for shard 0 and
// "ID#SHARD" for the other shards.
struct EntryName {
    std::string job;
    std::uint32_t shard = 0;
    auto operator<=>(const EntryName&) const = default;
};

// Returns the stored name of the entry.
std::string entry_name(const EntryName& entry);
// Parses a stored name. Returns std::nullopt if the "#" is not followed by the number of a shard above 0.
std::optional<EntryName> parse_entry_name(std::string_view name);

// Returns the record of the progress as the entry of the given shard.
Json progress_json(const model::Progress& progress, std::uint32_t shard = 0);
// Parses the record. Returns std::nullopt if it is malformed, or if it covers a whole job but lacks the team
// or the resources.
std::optional<model::Progress> parse_progress(const Json& value);

}  // namespace pineroad::wire::records
