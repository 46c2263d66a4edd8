// What the service itself keeps in the state service: keys and values.
//   pr/live/leader   who holds the term (attached to that node's lease)
//   pr/live/term     the last token given out; only ever grows
//   pr/live/types    machine types, so that every node can tell what can never run
//   pr/live/means    category means of slowdown
//   pr/live/a/ID     an accepted job
//   pr/live/s/N      a segment: progress and placements of several jobs. Of a job that stands in several, the
//                    one with the greatest sequence holds what is true; null there: nothing of it is left.
//                    A segment that nobody needs any more is written over, never dropped
//   pr/live/p/ID     progress of one job, as version 0.1 wrote it: still read, older than any segment
//   pr/live/rentals  the rental requests that are not answered yet, by name
//   pr/live/r/NAME   one of them: read for the sake of version 0.2, never written
//   pr/final/ID      a job that is over
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "model/model.hpp"
#include "wire/protocol.hpp"

namespace pineroad::wire::records {

inline constexpr std::string_view all_prefix = "pr/";
inline constexpr std::string_view live_prefix = "pr/live/";
inline constexpr std::string_view leader_key = "pr/live/leader";
inline constexpr std::string_view term_key = "pr/live/term";
inline constexpr std::string_view types_key = "pr/live/types";
inline constexpr std::string_view means_key = "pr/live/means";
inline constexpr std::string_view job_prefix = "pr/live/a/";
inline constexpr std::string_view progress_prefix = "pr/live/p/";
inline constexpr std::string_view segment_prefix = "pr/live/s/";
inline constexpr std::string_view rentals_key = "pr/live/rentals";
inline constexpr std::string_view rental_prefix = "pr/live/r/";
inline constexpr std::string_view final_prefix = "pr/final/";

std::string job_key(std::string_view id);
std::string progress_key(std::string_view id);
std::string segment_key(std::string_view name);
std::string rental_key(std::string_view name);
std::string final_key(std::string_view id);
// The rest of KEY after PREFIX, or nothing.
std::optional<std::string> under(std::string_view key, std::string_view prefix);

struct Leader {
    std::string node;
    std::uint64_t token = 0, lease = 0, nonce = 0;
};

Json leader_json(const Leader& l);
std::optional<Leader> parse_leader(const Json& v);
Json term_json(std::uint64_t token);
std::optional<std::uint64_t> parse_term(const Json& v);
Json job_json(const model::JobSpec& s);
std::optional<model::JobSpec> parse_job(const std::string& id, const Json& v);
Json progress_json(const model::Progress& p);
std::optional<model::Progress> parse_progress(const Json& v);
// Later segments have greater sequences: by term, then by number.
using Sequence = std::pair<std::uint64_t, std::uint64_t>;
struct Segment {
    Sequence sequence;
    std::map<std::string, std::optional<model::Progress>> jobs;  // nothing: no task of it is left anywhere
};
Json segment_json(const Sequence& sequence, boost::json::object jobs);
std::optional<Segment> parse_segment(const Json& v);
Json rental_json(const model::Rental& r);
std::optional<model::Rental> parse_rental(const std::string& name, const Json& v);
Json rentals_json(const std::vector<model::Rental>& rentals);  // by name
std::optional<std::vector<model::Rental>> parse_rentals(const Json& v);
Json final_json(model::Final f);
std::optional<model::Final> parse_final(const Json& v);
Json means_json(const model::CategoryMeans& m);
model::CategoryMeans parse_means(const Json& v);

}  // namespace pineroad::wire::records
