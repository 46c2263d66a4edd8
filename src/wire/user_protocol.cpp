#include "wire/user_protocol.hpp"

#include <array>
#include <boost/json/serialize.hpp>
#include <set>
#include <utility>
#include <vector>

#include "config/constants.hpp"
#include "wire/field_names.hpp"
#include "wire/field_reader.hpp"
#include "wire/job_id.hpp"

namespace pineroad::wire {
namespace {

namespace json = boost::json;

constexpr auto shapes = std::to_array<EnumName<model::Shape>>(
    {{"batch", model::Shape::array}, {"group", model::Shape::gang}, {"standing", model::Shape::service}});
constexpr auto priorities =
    std::to_array<EnumName<model::Priority>>({{"production", model::Priority::production},
                                              {"high", model::Priority::high},
                                              {"standard", model::Priority::normal},
                                              {"best_effort", model::Priority::low}});
constexpr auto job_statuses = std::to_array<EnumName<JobStatus>>({{"queued", JobStatus::queued},
                                                                  {"running", JobStatus::running},
                                                                  {"done", JobStatus::done},
                                                                  {"withdrawn", JobStatus::cancelled}});

// Returns the job ids without duplicates, in order of first occurrence; std::nullopt if `value` is not a list
// of valid ids.
std::optional<std::vector<std::string>> parse_job_ids(const Json& value) {
    const auto* list = value.if_array();
    if (!list) return std::nullopt;
    std::vector<std::string> out;
    std::set<std::string> seen;
    for (const auto& item : *list) {
        if (!item.is_string()) return std::nullopt;
        std::string id(item.get_string());
        if (!valid_job_id(id)) return std::nullopt;
        if (seen.insert(id).second) out.push_back(std::move(id));
    }
    return out;
}

void read_identity(FieldReader& reader, model::JobSpec& spec) {
    reader.read_text(field_name::id, spec.id);
    if (!reader.error() && !valid_job_id(spec.id)) reader.reject(field_name::id);
    reader.read_text(field_name::job_class, spec.job_class);
    reader.read_text(field_name::team, spec.team);
    reader.read_enum(field_name::shape, shapes, spec.shape);
    reader.read_enum(field_name::priority, priorities, spec.priority);
}

void read_tasks(FieldReader& reader, model::JobSpec& spec) {
    reader.read_count(field_name::tasks, 1, constants::max_tasks_per_job, spec.task_count);
    reader.read_amount(field_name::cpus, spec.task_resources.cpus);
    reader.read_amount(field_name::gpus, spec.task_resources.gpus);
    reader.read_amount(field_name::memory_gb, spec.task_resources.memory_gb);
    reader.read_text(field_name::image, spec.image);
    reader.read_amount(field_name::image_gb, spec.image_gb);
}

void read_machine_types(FieldReader& reader, model::JobSpec& spec) {
    const auto* value = reader.field(field_name::machine_types);
    if (!value) return;
    const auto* list = value->if_array();
    if (!list || list->size() > constants::max_machine_types_per_job)
        return reader.reject(field_name::machine_types);
    auto& types = spec.allowed_machine_types.emplace();
    for (const auto& type : *list) {
        if (!type.is_string() || type.get_string().empty() ||
            type.get_string().size() > constants::max_name_bytes)
            return reader.reject(field_name::machine_types);
        types.emplace_back(type.get_string());
    }
}

void read_placement_constraints(FieldReader& reader, model::JobSpec& spec) {
    read_machine_types(reader, spec);
    reader.read_optional_text(field_name::zone, spec.zone);
    reader.read_flag(field_name::same_zone, spec.same_zone);
    reader.read_flag(field_name::spread, spec.spread);
    reader.read_flag(field_name::spot, spec.allows_spot);
}

void read_times(FieldReader& reader, model::JobSpec& spec) {
    reader.read_amount(field_name::estimate_s, spec.estimate_s);
    reader.read_amount(field_name::checkpoint_interval_s, spec.checkpoint_interval_s);
    reader.read_amount(field_name::checkpoint_save_s, spec.checkpoint_save_s);
    reader.read_optional_amount(field_name::deadline_s, spec.deadline_s);
}

void read_dependencies(FieldReader& reader, model::JobSpec& spec) {
    const auto* value = reader.field(dependencies_field);
    if (!value) return;
    auto ids = parse_job_ids(*value);
    if (!ids) return reader.reject(dependencies_field);
    spec.dependencies = std::move(*ids);
}

}  // namespace

Parsed<model::JobSpec> parse_submission(std::string_view body) {
    const auto document = parse_json(body);
    if (!document) return InvalidRequest{InvalidRequest::Kind::not_json};
    const auto* object = document->if_object();
    if (!object) return InvalidRequest{InvalidRequest::Kind::not_an_object};
    // The order of the calls is that of the protocol's table, because the first invalid field is reported to
    // the user.
    FieldReader reader(*object);
    model::JobSpec spec;
    read_identity(reader, spec);
    read_tasks(reader, spec);
    read_placement_constraints(reader, spec);
    read_times(reader, spec);
    read_dependencies(reader, spec);
    if (reader.error()) return *reader.error();
    return spec;
}

std::string job_status_response(std::string_view id, JobStatus status,
                                std::optional<DisplayedTaskCounts> counts) {
    json::object out{{field_name::id, id}, {field_name::status, name_of(job_statuses, status)}};
    if (counts) {
        out[field_name::done_tasks] = counts->done;
        out[field_name::running_tasks] = counts->running;
    }
    return json::serialize(out);
}

std::string error_response(std::string_view reason) {
    return json::serialize(json::object{{field_name::error, reason}});
}

}  // namespace pineroad::wire
