#include "wire/worker_protocol.hpp"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "config/constants.hpp"
#include "wire/enum_names.hpp"
#include "wire/field_names.hpp"
#include "wire/job_id.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire {
namespace {

namespace json = boost::json;

constexpr auto task_states =
    std::to_array<EnumName<model::TaskState>>({{"fetching", model::TaskState::fetching},
                                               {"waiting", model::TaskState::waiting_for_gang},
                                               {"running", model::TaskState::running},
                                               {"saving", model::TaskState::checkpointing},
                                               {"ended", model::TaskState::exited}});
constexpr auto exit_causes =
    std::to_array<EnumName<model::ExitCause>>({{"done", model::ExitCause::done},
                                               {"stopped", model::ExitCause::stopped},
                                               {"mates_gone", model::ExitCause::gang_member_lost},
                                               {"alone", model::ExitCause::gang_incomplete},
                                               {"error", model::ExitCause::error},
                                               {"full", model::ExitCause::insufficient_resources},
                                               {"busy", model::ExitCause::already_running},
                                               {"unknown", model::ExitCause::unknown_task}});
constexpr auto command_kinds =
    std::to_array<EnumName<model::Command::Kind>>({{"start", model::Command::Kind::start},
                                                   {"stop", model::Command::Kind::stop},
                                                   {"reap", model::Command::Kind::forget}});

json::array commands_json(const std::vector<model::Command>& commands) {
    json::array out;
    for (const auto& command : commands) {
        json::object item{{field_name::command, name_of(command_kinds, command.kind)},
                          {field_name::task, task_name(command.task)},
                          {field_name::attempt, command.attempt}};
        if (command.kind == model::Command::Kind::stop) item[field_name::grace_s] = command.grace_s;
        out.push_back(std::move(item));
    }
    return out;
}

// Reads all fields of the heartbeat except the tasks.
std::optional<InvalidRequest> read_machine(const json::object& object, model::Heartbeat& heartbeat) {
    using Kind = InvalidRequest::Kind;
    auto machine = read::text(object, field_name::machine);
    if (!machine || machine->empty() || machine->size() > constants::max_name_bytes)
        return InvalidRequest{Kind::missing_or_invalid, field_name::machine};
    auto address = read::text(object, field_name::machine_address);
    auto type = read::text(object, field_name::machine_type);
    auto zone = read::text(object, field_name::zone);
    const auto spot = read::flag(object, field_name::spot);
    const auto agent_epoch = read::unsigned_integer(object, field_name::agent_epoch);
    const auto sequence = read::unsigned_integer(object, field_name::sequence);
    const auto fencing_token = read::unsigned_integer(object, field_name::fencing_token);
    if (!address || !type || !zone || !spot || !agent_epoch || !sequence || !fencing_token)
        return InvalidRequest{Kind::missing_or_invalid};
    heartbeat.machine = std::move(*machine);
    heartbeat.address = std::move(*address);
    heartbeat.type = std::move(*type);
    heartbeat.zone = std::move(*zone);
    heartbeat.spot = *spot;
    heartbeat.agent_epoch = *agent_epoch;
    heartbeat.sequence = *sequence;
    heartbeat.fencing_token = *fencing_token;
    heartbeat.interruption_notice_s = read::number(object, field_name::interruption_notice_s);
    return std::nullopt;
}

std::optional<model::ReportedTask> parse_reported_task(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto name = read::text(*object, field_name::task);
    auto task = name ? parse_task_name(*name) : std::nullopt;
    const auto attempt = read::unsigned_integer(*object, field_name::attempt);
    const auto state = value_of(task_states, read::text(*object, field_name::status));
    if (!task || !attempt || !state) return std::nullopt;
    model::ReportedTask out{std::move(*task), *attempt, *state, model::ExitCause::none, false};
    if (*state == model::TaskState::exited) {
        const auto cause = value_of(exit_causes, read::text(*object, field_name::exit_cause));
        out.cause = cause.value_or(model::ExitCause::error);
    }
    out.checkpoint_saved = read::flag(*object, field_name::checkpoint_saved).value_or(false);
    return out;
}

std::optional<InvalidRequest> read_tasks(const json::object& object, model::Heartbeat& heartbeat) {
    using Kind = InvalidRequest::Kind;
    const auto* value = read::field(object, field_name::tasks);
    if (!value) return InvalidRequest{Kind::missing, field_name::tasks};
    const auto* list = value->if_array();
    if (!list) return InvalidRequest{Kind::invalid, field_name::tasks};
    for (const auto& item : *list) {
        auto task = parse_reported_task(item);
        if (!task) return InvalidRequest{Kind::invalid, field_name::tasks};
        heartbeat.tasks.push_back(std::move(*task));
    }
    return std::nullopt;
}

}  // namespace

Parsed<model::Heartbeat> parse_heartbeat(std::string_view body) {
    const auto object = parse_object(body);
    if (!object) return InvalidRequest{InvalidRequest::Kind::not_a_json_object};
    model::Heartbeat heartbeat;
    if (const auto error = read_machine(*object, heartbeat)) return *error;
    if (const auto error = read_tasks(*object, heartbeat)) return *error;
    return heartbeat;
}

std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands) {
    return json::serialize(json::object{{field_name::fencing_token, fencing_token},
                                        {field_name::commands, commands_json(commands)}});
}

std::string direct_command_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<model::Command>& commands) {
    return json::serialize(json::object{{field_name::fencing_token, fencing_token},
                                        {field_name::agent_epoch, agent_epoch},
                                        {field_name::commands, commands_json(commands)}});
}

std::string redirect_response(std::string_view leader) {
    json::object out;
    if (!leader.empty()) out[field_name::leader] = leader;
    return json::serialize(out);
}

}  // namespace pineroad::wire
