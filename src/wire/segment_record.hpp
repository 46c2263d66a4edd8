// Segments: records that hold the progress of several jobs, so that one write updates all of them.
//
//   pr/live/s/N   {"n": [fencing token, number], "jobs": {entry name: progress, or null for a tombstone}}
#pragma once

#include <boost/json/object.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "model/model.hpp"
#include "wire/json_reader.hpp"
#include "wire/progress_record.hpp"

namespace pineroad::wire::records {

// Orders the writes of segments: by fencing token, then by the number of the write under that token. The
// latest write of an entry is the current one.
struct Sequence {
    std::uint64_t fencing_token = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Sequence&) const = default;
};

// Contents of one segment.
struct Segment {
    Sequence sequence;
    std::map<EntryName, std::optional<model::Progress>> entries;  // no value: tombstone of a removed entry
};

// Returns the record of a segment. The keys of `entries` are stored entry names (see entry_name()).
Json segment_json(const Sequence& sequence, boost::json::object entries);
// Parses a segment. Returns std::nullopt if any part of it is malformed.
std::optional<Segment> parse_segment(const Json& value);

}  // namespace pineroad::wire::records
