#include "store_simulator.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "wire/records.hpp"

namespace pineroad::test {

namespace json = boost::json;
namespace records = wire::records;
using net::Response;

namespace {

Response make_response(int status, const json::object& body = {}) {
    return {status, json::serialize(body)};
}

}  // namespace

std::string StoreSimulator::query_parameter(const std::string& target, const std::string& name) {
    const auto name_position = target.find(name + "=");
    if (name_position == std::string::npos) return {};
    const auto value_position = name_position + name.size() + 1;
    return target.substr(value_position, target.find('&', value_position) - value_position);
}

Response StoreSimulator::handle_request(const std::string& method, const std::string& target,
                                        const std::string& body, double now) {
    static const std::string leases = "/leases/", keys = "/store/";
    if (target == wire::commit_path) return commit(body);
    if (target == "/leases") return grant_lease(body, now);
    if (target.starts_with(leases))
        return renew_or_end_lease(method, std::stoull(target.substr(leases.size())), now);
    if (target.starts_with("/follow")) return changes_since(std::stoull(query_parameter(target, "Since")));
    if (target.starts_with("/store?"))
        return list(query_parameter(target, "Under"), query_parameter(target, "Since"));
    return read(target.substr(keys.size()));
}

// --- leases ------------------------------------------------------------------------------------------------

Response StoreSimulator::grant_lease(const std::string& body, double now) {
    const double ttl_s = json::parse(body).at("TtlMs").to_number<double>() / 1000;
    leases_[next_lease_id_] = {now + ttl_s, ttl_s};
    return make_response(200, {{"Permit", next_lease_id_++}});
}

Response StoreSimulator::renew_or_end_lease(const std::string& method, std::uint64_t id, double now) {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) return make_response(404);
    if (method == "DELETE")
        end_lease(id);
    else
        lease->second.expires_at = now + lease->second.ttl_s;
    return make_response(200);
}

void StoreSimulator::end_lease(std::uint64_t id) {
    if (!leases_.erase(id)) return;
    ++revision_;
    for (auto next = rows_.begin(); next != rows_.end();) {
        const auto row = next++;
        if (row->second.lease == id) delete_row(std::string(row->first));
    }
}

void StoreSimulator::expire_leases(double now) {
    for (auto next = leases_.begin(); next != leases_.end();) {
        const auto lease = next++;
        if (lease->second.expires_at < now) end_lease(lease->first);
    }
}

void StoreSimulator::extend_leases(double now) {
    for (auto& [id, lease] : leases_) lease.expires_at = now + lease.ttl_s;
}

// --- transactions ------------------------------------------------------------------------------------------

bool StoreSimulator::within_limits(const wire::Json& transaction) const {
    const auto& changes = transaction.at("Apply").as_array();
    return changes.size() <= max_transaction_changes &&
           std::all_of(changes.begin(), changes.end(), [&](const auto& change) {
               const auto* value = change.as_object().if_contains("Value");
               return !value || json::serialize(*value).size() <= max_value_bytes;
           });
}

bool StoreSimulator::uses_unknown_lease(const wire::Json& transaction) const {
    const auto& changes = transaction.at("Apply").as_array();
    return std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
        const auto* lease = change.as_object().if_contains("Permit");
        return lease && !leases_.contains(lease->template to_number<std::uint64_t>());
    });
}

std::vector<std::string> StoreSimulator::failed_conditions(const wire::Json& transaction) const {
    std::vector<std::string> failed;
    for (const auto& condition : transaction.at("When").as_array()) {
        const std::string key(condition.at("Key").as_string());
        const auto row = rows_.find(key);
        const auto revision = row == rows_.end() ? 0 : row->second.mod_revision;
        if (revision != condition.at("Stamp").to_number<std::uint64_t>()) failed.push_back(key);
    }
    return failed;
}

void StoreSimulator::apply(const wire::Json& change) {
    if (const auto* deleted_key = change.as_object().if_contains("Drop")) {
        delete_row(std::string(deleted_key->as_string()));
        return;
    }
    const std::string key(change.at("Write").as_string());
    const auto* lease = change.as_object().if_contains("Permit");
    rows_[key] = {change.at("Value"), revision_, lease ? lease->to_number<std::uint64_t>() : 0};
    change_log_.push_back({{"Write", key}, {"Value", change.at("Value")}, {"Stamp", revision_}});
}

Response StoreSimulator::commit(const std::string& body) {
    const auto transaction = json::parse(body);
    if (!within_limits(transaction)) {
        ++oversized_commits;
        return make_response(400, {{"error", "a limit is exceeded"}});
    }
    const auto failed = failed_conditions(transaction);
    if (uses_unknown_lease(transaction)) return make_response(400, {{"error", "no such lease"}});
    if (!failed.empty())
        return make_response(409, {{"failed", json::value_from(failed)}, {"Epoch", revision_}});
    ++revision_;
    for (const auto& change : transaction.at("Apply").as_array()) apply(change);
    return make_response(200, {{"Epoch", revision_}});
}

void StoreSimulator::delete_row(const std::string& key) {
    if (rows_.erase(key)) change_log_.push_back({{"Drop", key}, {"Stamp", revision_}});
}

// --- reads -------------------------------------------------------------------------------------------------

Response StoreSimulator::changes_since(std::uint64_t revision) const {
    json::array events;
    for (const auto& change : change_log_)
        if (change.at("Stamp").to_number<std::uint64_t>() > revision) events.push_back(change);
    return make_response(200, {{"Epoch", revision_}, {"Events", events}});
}

Response StoreSimulator::list(const std::string& prefix, const std::string& after) const {
    json::array rows;
    for (const auto& [key, row] : rows_)
        if (key.starts_with(prefix) && key > after)
            rows.push_back(json::object{{"Key", key}, {"Value", row.value}, {"Stamp", row.mod_revision}});
    return make_response(200, {{"Rows", rows}, {"Truncated", false}, {"Epoch", revision_}});
}

Response StoreSimulator::read(const std::string& key) const {
    const auto row = rows_.find(key);
    if (row == rows_.end()) return make_response(404, {{"Epoch", revision_}});
    return make_response(200,
                         {{"Key", key}, {"Value", row->second.value}, {"Stamp", row->second.mod_revision}});
}

std::size_t StoreSimulator::count_rows_with_prefix(std::string_view prefix) const {
    return static_cast<std::size_t>(std::count_if(
        rows_.begin(), rows_.end(), [&](const auto& row) { return row.first.starts_with(prefix); }));
}

std::size_t StoreSimulator::live_job_count() const {
    return count_rows_with_prefix(records::job_prefix);
}

std::string StoreSimulator::leader() const {
    const auto row = rows_.find(std::string(records::leader_key));
    return row == rows_.end() ? "" : records::parse_leader(row->second.value)->node;
}

std::uint64_t StoreSimulator::fencing_token() const {
    const auto row = rows_.find(std::string(records::term_key));
    return row == rows_.end() ? 0 : *records::parse_term(row->second.value);
}

// --- direct writes by tests --------------------------------------------------------------------------------

void StoreSimulator::put(const std::string& key, wire::Json value) {
    rows_[key] = {value, ++revision_, 0};
    change_log_.push_back({{"Write", key}, {"Value", std::move(value)}, {"Stamp", revision_}});
}

void StoreSimulator::put_job(model::JobSpec spec, double now) {
    spec.accepted_ms = static_cast<std::int64_t>(now * 1000);
    put(records::job_key(spec.id), records::job_json(spec));
}

}  // namespace pineroad::test
