// Keys of the records (records.hpp lists what stands under each).
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

// Of the accepted job.
std::string job_key(std::string_view id);
// Of the job's progress in the form of version 0.1.
std::string progress_key(std::string_view id);
// Of the segment.
std::string segment_key(std::string_view name);
// Of the provisioning request in the form of version 0.2.
std::string provisioning_request_key(std::string_view name);
// Of the job's outcome.
std::string outcome_key(std::string_view id);
// Of one of the job's dependency records.
std::string dependencies_key(std::string_view id, std::uint32_t number);

// The rest of the key after the prefix; nothing if it has another one.
std::optional<std::string> strip_prefix(std::string_view key, std::string_view prefix);

}  // namespace pineroad::wire::records
