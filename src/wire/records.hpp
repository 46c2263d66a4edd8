// What the service itself keeps in the state service: keys and values.
//   pr/live/leader   who holds the term (attached to that node's lease)
//   pr/live/term     the last token given out; only ever grows
//   pr/live/types    machine types, so that every node can tell what can never run
//   pr/live/means    category means of slowdown
//   pr/live/format   the controllers that were seen to read format 2 (below); it is written once all were
//   pr/live/a/ID     an accepted job; "after": the jobs that it depends on, without their "j-" (format 2)
//   pr/live/w/ID/N   the end of a long list of dependencies: "more" of these belong to the job's record, and
//                    they are written and dropped with it (format 2)
//   pr/live/s/N      a segment: progress and placements of several jobs. Of a job that stands in several, the
//                    one with the greatest sequence holds what is true; null there: nothing of it is left.
//                    A segment that nobody needs any more is written over, never dropped.
//                    The entry of a job speaks of all its tasks. In format 2 a large job has an entry for
//                    every so many tasks, ID and ID#1, ID#2 ..., each marked as partial: such an entry counts
//                    for its own tasks, and an entry of the whole job only for tasks without one
//   pr/live/p/ID     progress of one job, as version 0.1 wrote it: still read, older than any segment
//   pr/live/rentals  the rental requests that are not answered yet, by name
//   pr/live/r/NAME   one of them: read for the sake of version 0.2, never written
//   pr/final/ID      a job that is over: how, and since version 0.5 when
#pragma once

#include <boost/json/object.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
inline constexpr std::string_view machine_types_key = "pr/live/types";
inline constexpr std::string_view category_averages_key = "pr/live/means";
inline constexpr std::string_view format_key = "pr/live/format";
inline constexpr std::string_view dependencies_prefix = "pr/live/w/";
inline constexpr std::string_view job_prefix = "pr/live/a/";
inline constexpr std::string_view progress_prefix = "pr/live/p/";
inline constexpr std::string_view segment_prefix = "pr/live/s/";
inline constexpr std::string_view provisioning_requests_key = "pr/live/rentals";
inline constexpr std::string_view provisioning_request_prefix = "pr/live/r/";
inline constexpr std::string_view outcome_prefix = "pr/final/";

std::string job_key(std::string_view id);
std::string progress_key(std::string_view id);
std::string segment_key(std::string_view name);
std::string provisioning_request_key(std::string_view name);
std::string outcome_key(std::string_view id);
std::string dependencies_key(std::string_view id, std::uint32_t number);
// The rest of KEY after PREFIX, or nothing.
std::optional<std::string> under(std::string_view key, std::string_view prefix);

struct Leader {
    std::string node;
    std::uint64_t fencing_token = 0, lease = 0, nonce = 0;
};

Json leader_json(const Leader& l);
std::optional<Leader> parse_leader(const Json& v);
Json term_json(std::uint64_t fencing_token);
std::optional<std::uint64_t> parse_term(const Json& v);
// The record format that this version reads and, once every controller does, writes. Version 0.4 knows 1
// only.
inline constexpr std::uint64_t format = 2;
Json format_json(const std::set<std::string>& controllers);
std::optional<std::set<std::string>> parse_format(const Json& v);

// The job with its whole list of dependencies.
Json job_json(const model::JobSpec& s);
// The same in values of at most so many bytes: the job's own record, and those that hold the end of its list.
struct JobRecords {
    Json job;
    std::vector<Json> dependencies;
};
// Nothing if it takes more than so many further records.
std::optional<JobRecords> job_records(const model::JobSpec& s, std::size_t value_bytes,
                                      std::size_t most_dependency_records);
std::optional<std::vector<std::string>> parse_dependencies(const Json& v);
std::optional<model::JobSpec> parse_job(const std::string& id, const Json& v);
// The name of a part's entry in a segment, and back.
struct EntryName {
    std::string job;
    std::uint32_t shard = 0;
    auto operator<=>(const EntryName&) const = default;
};
std::string entry_name(const EntryName& entry);
std::optional<EntryName> parse_entry_name(std::string_view name);
// Parts but the first leave out what the first one says of the whole job.
Json progress_json(const model::Progress& p, std::uint32_t shard = 0);
std::optional<model::Progress> parse_progress(const Json& v);
// Later segments have greater sequences: by term, then by number.
using Sequence = std::pair<std::uint64_t, std::uint64_t>;
struct Segment {
    Sequence sequence;
    std::map<EntryName, std::optional<model::Progress>> entries;  // nothing: no task of it is left anywhere
};
Json segment_json(const Sequence& sequence, boost::json::object jobs);
std::optional<Segment> parse_segment(const Json& v);
Json provisioning_request_json(const model::ProvisioningRequest& r);
std::optional<model::ProvisioningRequest> parse_provisioning_request(const std::string& name, const Json& v);
Json provisioning_requests_json(
    const std::vector<model::ProvisioningRequest>& provisioning_requests);  // by name
std::optional<std::vector<model::ProvisioningRequest>> parse_provisioning_requests(const Json& v);
Json outcome_json(const model::JobOutcome& ending);
std::optional<model::JobOutcome> parse_outcome(const Json& v);
Json category_averages_json(const model::CategoryAverages& m);
model::CategoryAverages parse_category_averages(const Json& v);

}  // namespace pineroad::wire::records
