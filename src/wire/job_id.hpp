// Job ids, which users choose, and task names, which workers report.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "model/model.hpp"

namespace pineroad::wire {

inline constexpr std::string_view job_id_prefix = "j-";  // required of every job id

// Returns whether the id is job_id_prefix followed by 1 to 38 letters or digits.
bool valid_job_id(std::string_view id);

// Returns the task's name: the job's id, a slash and the task's index.
std::string task_name(const model::TaskId& task);

// Parses a task's name. Returns std::nullopt if the job's id is not valid, or the index is not a decimal
// number below constants::max_tasks_per_job.
std::optional<model::TaskId> parse_task_name(std::string_view name);

}  // namespace pineroad::wire
