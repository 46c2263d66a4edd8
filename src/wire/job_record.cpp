#include "wire/job_record.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <utility>

#include "config/constants.hpp"
#include "wire/job_id.hpp"
#include "wire/resources_record.hpp"

namespace pineroad::wire::records {
namespace {

namespace json = boost::json;

constexpr auto last_shape = static_cast<std::uint64_t>(model::Shape::service);
constexpr auto last_priority = static_cast<std::uint64_t>(model::Priority::low);

// Lists of dependencies omit job_id_prefix.
std::string join_ids(const std::vector<std::string>& ids, std::size_t first, std::size_t last) {
    std::string out;
    for (std::size_t i = first; i < last; ++i) {
        if (!out.empty()) out += ' ';
        out += ids[i].substr(job_id_prefix.size());
    }
    return out;
}

std::vector<std::string> split_ids(std::string_view text) {
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        if (end > 0) out.push_back(std::string(job_id_prefix).append(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

// Returns the end of the longest run of ids, starting at index `first`, whose text fits into `max_bytes`.
std::size_t end_of_fitting_ids(const std::vector<std::string>& ids, std::size_t first,
                               std::size_t max_bytes) {
    std::size_t last = first;
    std::size_t used_bytes = 0;
    while (last < ids.size() && used_bytes + ids[last].size() - job_id_prefix.size() + 1 <= max_bytes)
        used_bytes += ids[last++].size() - job_id_prefix.size() + 1;
    return last;
}

// Adds the fields that are omitted when they are not set.
void add_optional_fields(json::object& out, const model::JobSpec& spec) {
    if (spec.allowed_machine_types) {
        json::array types;
        for (const auto& type : *spec.allowed_machine_types) types.emplace_back(type);
        out["types"] = std::move(types);
    }
    if (spec.zone) out["zone"] = *spec.zone;
    if (spec.deadline_s) out["due"] = *spec.deadline_s;
    if (!spec.dependencies.empty()) out["after"] = join_ids(spec.dependencies, 0, spec.dependencies.size());
    if (spec.dependency_records > 0) out["more"] = spec.dependency_records;
}

void read_optional_fields(const json::object& object, model::JobSpec& spec) {
    if (const auto* types = read::list(object, "types")) {
        spec.allowed_machine_types.emplace();
        for (const auto& type : *types)
            if (type.is_string()) spec.allowed_machine_types->emplace_back(type.get_string());
    }
    spec.zone = read::text(object, "zone");
    spec.deadline_s = read::amount(object, "due");
    if (const auto after = read::text(object, "after")) spec.dependencies = split_ids(*after);
    constexpr std::uint64_t max_records = std::numeric_limits<std::uint32_t>::max();
    const auto dependency_records = read::unsigned_integer(object, "more").value_or(0);
    spec.dependency_records = static_cast<std::uint32_t>(std::min(dependency_records, max_records));
}

}  // namespace

Json job_json(const model::JobSpec& spec) {
    json::object out{{"class", spec.job_class},
                     {"team", spec.team},
                     {"image", spec.image},
                     {"shape", static_cast<int>(spec.shape)},
                     {"prio", static_cast<int>(spec.priority)},
                     {"tasks", spec.task_count},
                     {"need", resources_json(spec.task_resources)},
                     {"gb", spec.image_gb},
                     {"one_zone", spec.same_zone},
                     {"spread", spec.spread},
                     {"spot", spec.allows_spot},
                     {"est", spec.estimate_s},
                     {"ckpt", spec.checkpoint_interval_s},
                     {"save", spec.checkpoint_save_s},
                     {"at", spec.accepted_ms}};
    add_optional_fields(out, spec);
    return out;
}

std::optional<JobRecords> job_records(const model::JobSpec& spec, std::size_t max_value_bytes,
                                      std::size_t max_dependency_records) {
    constexpr std::size_t list_frame_bytes = 16;  // key, quotes and separators of a dependency list
    const auto& ids = spec.dependencies;
    model::JobSpec own_spec = spec;
    own_spec.dependencies.clear();
    own_spec.dependency_records = static_cast<std::uint32_t>(max_dependency_records);
    const auto own_bytes = json::serialize(job_json(own_spec)).size() + list_frame_bytes;
    if (own_bytes > max_value_bytes) return std::nullopt;
    const auto inline_count = end_of_fitting_ids(ids, 0, max_value_bytes - own_bytes);
    JobRecords out;
    for (auto next = inline_count; next < ids.size();) {
        const auto end = end_of_fitting_ids(ids, next, max_value_bytes - list_frame_bytes);
        if (end == next || out.dependencies.size() == max_dependency_records) return std::nullopt;
        out.dependencies.push_back(json::object{{"after", join_ids(ids, next, end)}});
        next = end;
    }
    own_spec.dependencies.assign(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(inline_count));
    own_spec.dependency_records = static_cast<std::uint32_t>(out.dependencies.size());
    out.job = job_json(own_spec);
    return out;
}

std::optional<model::JobSpec> parse_job(const std::string& id, const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto job_class = read::text(*object, "class");
    const auto team = read::text(*object, "team");
    const auto image = read::text(*object, "image");
    const auto priority = read::unsigned_integer(*object, "prio");
    const auto task_count =
        read::bounded_integer(read::field(*object, "tasks"), constants::max_tasks_per_job);
    const auto accepted_ms = read::unix_time_ms(*object, "at");
    const auto task_resources = parse_resources(*object, "need");
    if (!job_class || !team || !image || !priority || *priority > last_priority || !task_count ||
        !accepted_ms || !task_resources)
        return std::nullopt;
    model::JobSpec spec;
    spec.id = id;
    spec.job_class = *job_class;
    spec.team = *team;
    spec.image = *image;
    // A missing shape means a job array. A shape unknown to this version is treated as the last known one.
    spec.shape =
        static_cast<model::Shape>(std::min(read::unsigned_integer(*object, "shape").value_or(0), last_shape));
    spec.priority = static_cast<model::Priority>(*priority);
    spec.task_count = *task_count;
    spec.task_resources = *task_resources;
    spec.image_gb = read::amount(*object, "gb").value_or(0);
    spec.same_zone = read::flag(*object, "one_zone").value_or(false);
    spec.spread = read::flag(*object, "spread").value_or(false);
    spec.allows_spot = read::flag(*object, "spot").value_or(false);
    spec.estimate_s = read::amount(*object, "est").value_or(0);
    spec.checkpoint_interval_s = read::amount(*object, "ckpt").value_or(0);
    spec.checkpoint_save_s = read::amount(*object, "save").value_or(0);
    spec.accepted_ms = *accepted_ms;
    read_optional_fields(*object, spec);
    return spec;
}

std::optional<std::vector<std::string>> parse_dependencies(const Json& value) {
    const auto* object = value.if_object();
    const auto ids = object ? read::text(*object, "after") : std::nullopt;
    if (!ids) return std::nullopt;
    return split_ids(*ids);
}

}  // namespace pineroad::wire::records
