// Segments: records that hold the progress of several jobs, so that one write serves them all.
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

// Order of the writes of segments: by fencing token, then by the number of the segment under that token. The
// latest write of an entry counts.
struct Sequence {
    std::uint64_t fencing_token = 0;
    std::uint64_t number = 0;
    auto operator<=>(const Sequence&) const = default;
};

// What one segment holds.
struct Segment {
    Sequence sequence;
    std::map<EntryName, std::optional<model::Progress>>
        entries;  // nothing: a tombstone, no task of it is left
};

// The segment with these entries, by their names on the wire.
Json segment_json(const Sequence& sequence, boost::json::object entries);
// The reverse; nothing if any part is malformed.
std::optional<Segment> parse_segment(const Json& value);

}  // namespace pineroad::wire::records
