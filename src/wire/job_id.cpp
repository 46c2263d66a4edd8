#include "wire/job_id.hpp"

#include <algorithm>
#include <cctype>

#include "config/constants.hpp"

namespace pineroad::wire {
namespace {

constexpr std::size_t max_job_id_size = 40;
constexpr std::size_t max_index_digits = 6;

}  // namespace

bool valid_job_id(std::string_view id) {
    if (id.size() <= job_id_prefix.size() || id.size() > max_job_id_size) return false;
    if (!id.starts_with(job_id_prefix)) return false;
    const auto rest = id.substr(job_id_prefix.size());
    return std::all_of(rest.begin(), rest.end(), [](unsigned char byte) { return std::isalnum(byte) != 0; });
}

std::string task_name(const model::TaskId& task) {
    return task.job + "/" + std::to_string(task.index);
}

std::optional<model::TaskId> parse_task_name(std::string_view name) {
    const auto slash = name.find('/');
    if (slash == std::string_view::npos || !valid_job_id(name.substr(0, slash))) return std::nullopt;
    const auto digits = name.substr(slash + 1);
    if (digits.empty() || digits.size() > max_index_digits) return std::nullopt;
    if (!std::all_of(digits.begin(), digits.end(),
                     [](unsigned char byte) { return std::isdigit(byte) != 0; }))
        return std::nullopt;
    const auto index = std::stoul(std::string(digits));
    if (index >= constants::max_tasks_per_job) return std::nullopt;
    return model::TaskId{std::string(name.substr(0, slash)), static_cast<std::uint32_t>(index)};
}

}  // namespace pineroad::wire
