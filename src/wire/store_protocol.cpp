#include "wire/store_protocol.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "wire/field_names.hpp"
#include "wire/url.hpp"

namespace pineroad::wire {
namespace {

namespace json = boost::json;

constexpr std::string_view store_path = "/store";
constexpr std::string_view watch_path = "/follow";

// A JSON null is accepted as the row's value.
std::optional<Row> read_row(const json::object& object) {
    auto key = read::text(object, field_name::key);
    const auto mod_revision = read::unsigned_integer(object, field_name::mod_revision);
    const auto* value = object.if_contains(field_name::value);
    if (!key || !mod_revision || !value) return std::nullopt;
    return Row{std::move(*key), *value, *mod_revision};
}

std::optional<WatchEvent> parse_watch_event(const Json& value) {
    const auto* object = value.if_object();
    const auto mod_revision =
        object ? read::unsigned_integer(*object, field_name::mod_revision) : std::nullopt;
    if (!mod_revision) return std::nullopt;
    if (auto key = read::text(*object, field_name::put)) {
        const auto* put = object->if_contains(field_name::value);
        if (!put) return std::nullopt;
        return WatchEvent{std::move(*key), *put, *mod_revision};
    }
    if (auto key = read::text(*object, field_name::remove))
        return WatchEvent{std::move(*key), std::nullopt, *mod_revision};
    return std::nullopt;
}

Json change_json(const Change& change) {
    if (!change.value) return json::object{{field_name::remove, change.key}};
    json::object out{{field_name::put, change.key}, {field_name::value, *change.value}};
    if (change.lease) out[field_name::lease] = *change.lease;
    return out;
}

}  // namespace

std::string row_target(std::string_view key) {
    return std::string(store_path) + "/" + std::string(key);
}

std::string row_list_target(std::string_view prefix, std::string_view after, int page_size) {
    std::string target(store_path);
    add_query_parameter(target, query_name::prefix, prefix);
    add_query_parameter(target, query_name::page_size, std::to_string(page_size));
    if (!after.empty()) add_query_parameter(target, query_name::after, after);
    return target;
}

std::string watch_target(std::string_view prefix, std::uint64_t after_revision, int block_ms) {
    std::string target(watch_path);
    add_query_parameter(target, query_name::prefix, prefix);
    add_query_parameter(target, query_name::after, std::to_string(after_revision));
    add_query_parameter(target, query_name::block_ms, std::to_string(block_ms));
    return target;
}

std::string commit_request(const Transaction& transaction) {
    json::array conditions;
    json::array changes;
    for (const auto& condition : transaction.conditions) {
        conditions.push_back(json::object{{field_name::key, condition.key},
                                          {field_name::mod_revision, condition.mod_revision}});
    }
    for (const auto& change : transaction.changes) changes.push_back(change_json(change));
    return json::serialize(json::object{{field_name::conditions, std::move(conditions)},
                                        {field_name::changes, std::move(changes)}});
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
    const auto object = parse_object(body);
    return object ? read::unsigned_integer(*object, field_name::revision) : std::nullopt;
}

std::vector<std::string> parse_failed_conditions(std::string_view body) {
    std::vector<std::string> out;
    const auto object = parse_object(body);
    const auto* list = object ? read::list(*object, field_name::failed_conditions) : nullptr;
    if (!list) return out;
    for (const auto& key : *list)
        if (key.is_string()) out.emplace_back(key.get_string());
    return out;
}

std::optional<Row> parse_row(std::string_view body) {
    const auto object = parse_object(body);
    return object ? read_row(*object) : std::nullopt;
}

std::optional<Rows> parse_rows(std::string_view body) {
    const auto object = parse_object(body);
    if (!object) return std::nullopt;
    const auto* list = read::list(*object, field_name::rows);
    const auto revision = read::unsigned_integer(*object, field_name::revision);
    if (!list || !revision) return std::nullopt;
    Rows out;
    out.revision = *revision;
    out.has_more = read::flag(*object, field_name::truncated).value_or(false);
    for (const auto& item : *list) {
        const auto* fields = item.if_object();
        auto row = fields ? read_row(*fields) : std::nullopt;
        if (!row) return std::nullopt;
        out.rows.push_back(std::move(*row));
    }
    return out;
}

std::optional<WatchEvents> parse_watch_events(std::string_view body) {
    const auto object = parse_object(body);
    const auto revision = object ? read::unsigned_integer(*object, field_name::revision) : std::nullopt;
    if (!revision) return std::nullopt;
    WatchEvents out;
    out.revision = *revision;
    const auto* value = read::field(*object, field_name::events);
    if (!value) return out;
    const auto* list = value->if_array();
    if (!list) return std::nullopt;
    for (const auto& item : *list) {
        auto event = parse_watch_event(item);
        if (!event) return std::nullopt;
        out.events.push_back(std::move(*event));
    }
    return out;
}

std::string lease_request(int ttl_ms) {
    return json::serialize(json::object{{field_name::lease_ttl_ms, ttl_ms}});
}

std::optional<std::uint64_t> parse_lease(std::string_view body) {
    const auto object = parse_object(body);
    return object ? read::unsigned_integer(*object, field_name::lease) : std::nullopt;
}

std::string renew_lease_target(std::uint64_t lease) {
    return lease_target(lease) + "/touch";
}

std::string lease_target(std::uint64_t lease) {
    return std::string(leases_path) + "/" + std::to_string(lease);
}

}  // namespace pineroad::wire
