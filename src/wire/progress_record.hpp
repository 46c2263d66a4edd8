// Record of a job's progress, and of a shard's. It is an entry of a segment (segment_record.hpp).
//
//   {"d": [[first, last], ...] tasks that are done, "r": [[task, attempt, machine], ...] placements,
//    "n": next attempt, "c": true if it covers one shard only,
//    "s": run time in seconds kept by checkpoints, "w": resources of each task, "t": team}
//
// "s", "w" and "t" speak of the whole job: entries of shards other than 0 leave them out.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// The entry of a job, or of one shard of its tasks: on the wire "ID" for shard 0 and "ID#SHARD" for the
// others.
struct EntryName {
    std::string job;
    std::uint32_t shard = 0;
    auto operator<=>(const EntryName&) const = default;
};

// The name on the wire.
std::string entry_name(const EntryName& entry);
// The reverse; nothing if what follows the mark is no shard number above 0.
std::optional<EntryName> parse_entry_name(std::string_view name);

// The progress as the entry of that shard.
Json progress_json(const model::Progress& progress, std::uint32_t shard = 0);
// The reverse; nothing if malformed, or if the entry covers a whole job and lacks its team or resources.
std::optional<model::Progress> parse_progress(const Json& value);

}  // namespace pineroad::wire::records
