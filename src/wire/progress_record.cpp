#include "wire/progress_record.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <charconv>
#include <utility>

#include "config/constants.hpp"
#include "wire/resources_record.hpp"

namespace pineroad::wire::records {
namespace {

namespace json = boost::json;

constexpr char shard_separator = '#';

constexpr std::uint32_t max_task_index = constants::max_tasks_per_job - 1;
constexpr std::uint32_t max_shard = max_task_index / constants::tasks_per_shard;

// No job has a task with an index above `max_task_index`, so such tasks are left out.
bool read_done_tasks(const json::array& ranges, model::TaskSet& done) {
    for (const auto& item : ranges) {
        const auto* range = item.if_array();
        if (!range || range->size() != 2) return false;
        const auto first = read::unsigned_integer(range->if_contains(0));
        const auto last = read::unsigned_integer(range->if_contains(1));
        if (!first || !last) return false;
        if (*first > max_task_index) continue;
        const auto last_index = std::min<std::uint64_t>(*last, max_task_index);
        done += boost::icl::discrete_interval<std::uint32_t>::closed(static_cast<std::uint32_t>(*first),
                                                                     static_cast<std::uint32_t>(last_index));
    }
    return true;
}

// Leaves out the same tasks as read_done_tasks().
bool read_placements(const json::array& list, std::vector<model::Placement>& placements) {
    for (const auto& item : list) {
        const auto* placement = item.if_array();
        if (!placement || placement->size() != 3 || !(*placement)[2].is_string()) return false;
        const auto index = read::unsigned_integer(placement->if_contains(0));
        const auto attempt = read::unsigned_integer(placement->if_contains(1));
        if (!index || !attempt) return false;
        if (*index > max_task_index) continue;
        placements.push_back(
            {static_cast<std::uint32_t>(*index), *attempt, std::string((*placement)[2].get_string())});
    }
    return true;
}

}  // namespace

std::string entry_name(const EntryName& entry) {
    return entry.shard == 0 ? entry.job : entry.job + shard_separator + std::to_string(entry.shard);
}

std::optional<EntryName> parse_entry_name(std::string_view name) {
    const auto separator = name.find(shard_separator);
    if (separator == std::string_view::npos) return EntryName{std::string(name), 0};
    std::uint32_t shard = 0;
    const auto digits = name.substr(separator + 1);
    const auto* const digits_end = digits.data() + digits.size();
    const auto [end, error] = std::from_chars(digits.data(), digits_end, shard);
    if (error != std::errc() || end != digits_end || shard == 0 || shard > max_shard) return std::nullopt;
    return EntryName{std::string(name.substr(0, separator)), shard};
}

Json progress_json(const model::Progress& progress, std::uint32_t shard) {
    json::array done;
    json::array placements;
    for (const auto& range : progress.done)
        done.push_back(json::array{boost::icl::first(range), boost::icl::last(range)});
    for (const auto& placement : progress.placements)
        placements.push_back(json::array{placement.index, placement.attempt, placement.machine});
    json::object out{{"d", std::move(done)}, {"r", std::move(placements)}, {"n", progress.next_attempt}};
    if (progress.covers_one_shard) out["c"] = true;
    if (shard > 0) return out;
    out["s"] = progress.checkpointed_run_s;
    out["w"] = resources_json(progress.task_resources);
    out["t"] = progress.team;
    return out;
}

std::optional<model::Progress> parse_progress(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto* done = read::list(*object, "d");
    const auto* placements = read::list(*object, "r");
    const auto next_attempt = read::unsigned_integer(*object, "n");
    if (!done || !placements || !next_attempt) return std::nullopt;
    const auto task_resources = parse_resources(*object, "w");
    auto team = read::text(*object, "t");
    model::Progress progress;
    progress.covers_one_shard = read::flag(*object, "c").value_or(false);
    if (!progress.covers_one_shard && (!task_resources || !team)) return std::nullopt;
    if (!read_done_tasks(*done, progress.done)) return std::nullopt;
    if (!read_placements(*placements, progress.placements)) return std::nullopt;
    progress.next_attempt = *next_attempt;
    progress.checkpointed_run_s = read::amount(*object, "s").value_or(0);
    progress.task_resources = task_resources.value_or(model::Resources{});
    if (team) progress.team = std::move(*team);
    return progress;
}

}  // namespace pineroad::wire::records
