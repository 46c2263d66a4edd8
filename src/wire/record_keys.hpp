// Keys of the stored records. records.hpp describes the record under each key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

// Returns the key of an accepted job's record.
std::string job_key(std::string_view id);
// Returns the key of a job's progress record in the format of version 0.1.
std::string progress_key(std::string_view id);
// Returns the key of a segment.
std::string segment_key(std::string_view name);
// Returns the key of a provisioning request in the format of version 0.2.
std::string provisioning_request_key(std::string_view name);
// Returns the key of the outcome of a finished job.
std::string outcome_key(std::string_view id);
// Returns the key of the job's dependency record with the given number.
std::string dependencies_key(std::string_view id, std::uint32_t number);

// Returns the part of the key after the prefix; std::nullopt if the key does not start with it.
std::optional<std::string> strip_prefix(std::string_view key, std::string_view prefix);

}  // namespace pineroad::wire::records
