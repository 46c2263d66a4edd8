#include "wire/cloud_protocol.hpp"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "wire/enum_names.hpp"
#include "wire/field_names.hpp"
#include "wire/url.hpp"

namespace pineroad::wire {
namespace {

namespace json = boost::json;

// Defaults for the optional fields of a machine type.
constexpr double default_fetch_gb_per_s = 1;
constexpr double default_price = 1;
constexpr double default_boot_s = 60;

constexpr auto machine_statuses =
    std::to_array<EnumName<model::MachineStatus>>({{"booting", model::MachineStatus::booting},
                                                   {"running", model::MachineStatus::running},
                                                   {"failed", model::MachineStatus::failed}});

// Parses a list of strings. Returns std::nullopt if `list` is null or contains anything but strings.
std::optional<std::vector<std::string>> parse_strings(const json::array* list) {
    if (!list) return std::nullopt;
    std::vector<std::string> out;
    for (const auto& item : *list) {
        if (!item.is_string()) return std::nullopt;
        out.emplace_back(item.get_string());
    }
    return out;
}

std::optional<model::MachineType> parse_machine_type(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto name = read::text(*object, field_name::type_name);
    const auto cpus = read::amount(*object, field_name::cpus);
    const auto gpus = read::amount(*object, field_name::gpus);
    const auto memory_gb = read::amount(*object, field_name::memory_gb);
    auto zones = parse_strings(read::list(*object, field_name::zones));
    if (!name || !cpus || !gpus || !memory_gb || !zones) return std::nullopt;
    model::MachineType type;
    type.name = *name;
    type.capacity = {*cpus, *gpus, *memory_gb};
    type.cache_gb = read::amount(*object, field_name::cache_gb).value_or(0);
    type.fetch_gb_per_s = read::amount(*object, field_name::fetch_gb_per_s).value_or(default_fetch_gb_per_s);
    type.price = read::amount(*object, field_name::price).value_or(default_price);
    type.spot_price = read::amount(*object, field_name::spot_price).value_or(type.price);
    type.boot_s = read::amount(*object, field_name::boot_s).value_or(default_boot_s);
    type.zones = std::move(*zones);
    return type;
}

Json machine_type_json(const model::MachineType& type) {
    json::array zones;
    for (const auto& zone : type.zones) zones.emplace_back(zone);
    return json::object{
        {field_name::type_name, type.name},     {field_name::cpus, type.capacity.cpus},
        {field_name::gpus, type.capacity.gpus}, {field_name::memory_gb, type.capacity.memory_gb},
        {field_name::cache_gb, type.cache_gb},  {field_name::fetch_gb_per_s, type.fetch_gb_per_s},
        {field_name::price, type.price},        {field_name::spot_price, type.spot_price},
        {field_name::boot_s, type.boot_s},      {field_name::zones, std::move(zones)}};
}

std::optional<model::ListedMachine> parse_listed_machine(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto name = read::text(*object, field_name::id);
    const auto type = read::text(*object, field_name::machine_type);
    const auto zone = read::text(*object, field_name::zone);
    const auto status = value_of(machine_statuses, read::text(*object, field_name::status));
    if (!name || !type || !zone || !status) return std::nullopt;
    return model::ListedMachine{*name,
                                read::text(*object, field_name::machine_address).value_or(""),
                                *type,
                                *zone,
                                read::flag(*object, field_name::spot).value_or(false),
                                *status,
                                read::amount(*object, field_name::machine_age_s).value_or(0)};
}

}  // namespace

std::optional<std::vector<model::MachineType>> parse_machine_types(const Json& document) {
    const auto* object = document.if_object();
    const auto* list = object ? read::list(*object, field_name::machine_types) : nullptr;
    if (!list) return std::nullopt;
    std::vector<model::MachineType> out;
    for (const auto& item : *list) {
        auto type = parse_machine_type(item);
        if (!type) return std::nullopt;
        out.push_back(std::move(*type));
    }
    return out;
}

Json machine_types_json(const std::vector<model::MachineType>& types) {
    json::array list;
    for (const auto& type : types) list.push_back(machine_type_json(type));
    return json::object{{field_name::machine_types, std::move(list)}};
}

std::string provisioning_request(const model::ProvisioningRequest& request) {
    return json::serialize(json::object{{field_name::provisioning_request, request.name},
                                        {field_name::machine_type, request.type},
                                        {field_name::zone, request.zone},
                                        {field_name::spot, request.spot},
                                        {field_name::machine_count, request.count}});
}

std::optional<std::vector<std::string>> parse_provisioned_machines(std::string_view body) {
    const auto object = parse_object(body);
    return object ? parse_strings(read::list(*object, field_name::machines)) : std::nullopt;
}

std::string release_request(const std::vector<std::string>& machines) {
    json::array list;
    for (const auto& machine : machines) list.emplace_back(machine);
    return json::serialize(json::object{{field_name::machines, std::move(list)}});
}

std::string machine_list_target(std::string_view after, int page_size) {
    std::string target(machines_path);
    add_query_parameter(target, query_name::page_size, std::to_string(page_size));
    if (!after.empty()) add_query_parameter(target, query_name::after, after);
    return target;
}

std::optional<MachineList> parse_machine_list(std::string_view body) {
    const auto object = parse_object(body);
    const auto* list = object ? read::list(*object, field_name::machines) : nullptr;
    if (!list) return std::nullopt;
    MachineList out;
    out.has_more = read::flag(*object, field_name::truncated).value_or(false);
    for (const auto& item : *list) {
        auto machine = parse_listed_machine(item);
        if (!machine) return std::nullopt;
        out.machines.push_back(std::move(*machine));
    }
    return out;
}

}  // namespace pineroad::wire
