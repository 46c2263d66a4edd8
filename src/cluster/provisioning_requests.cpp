#include "cluster/provisioning_requests.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
namespace records = wire::records;

void ProvisioningRequests::load(const store::WatchCache& watch_cache) {
    mod_revision_ = watch_cache.open_provisioning_requests.mod_revision;
    for (const auto& request : watch_cache.open_provisioning_requests.value)
        requests_[request.name] = {request, 0, Phase::no_response};
    for (const auto& [name, single] : watch_cache.provisioning_records)
        requests_[name] = {single.value, single.mod_revision, Phase::no_response};
}

void ProvisioningRequests::scale_out(const scheduling::ScaleOut& decision) {
    for (std::uint32_t remaining = decision.count; remaining > 0;) {
        const auto count = std::min<std::uint32_t>(remaining, c::max_machines_per_request);
        remaining -= count;
        // A fencing token is never issued twice, so the name is unique.
        const auto name = "r-" + std::to_string(fencing_token_) + "-" + std::to_string(++request_count_);
        spdlog::info("provisioning request {}: {} {} in {}{} wanted (term {})", name, count, decision.type,
                     decision.zone, decision.spot ? ", spot" : "", fencing_token_);
        requests_[name] = {{name, decision.type, decision.zone, decision.spot, count}, 0, Phase::pending};
    }
}

std::vector<model::ProvisioningRequest> ProvisioningRequests::open_requests() const {
    std::vector<model::ProvisioningRequest> open;
    for (const auto& [name, request] : requests_)
        if (request.is_open()) open.push_back(request.request);
    return open;
}

bool ProvisioningRequests::lacks_capacity(const scheduling::MachinePool& pool, double now) const {
    const auto backoff = backoffs_.find({pool.type->name, pool.zone, pool.spot});
    return backoff != backoffs_.end() && backoff->second.until_s > now;
}

bool ProvisioningRequests::has_sendable() const {
    return std::any_of(requests_.begin(), requests_.end(),
                       [](const auto& entry) { return entry.second.is_sendable(); });
}

// All open requests share one record. With one record each, a request took two changes, and a burst in which
// one pool after the other was refused used half of all changes that the store accepts.
std::optional<ProvisioningRequests::Record> ProvisioningRequests::pending_record(double bytes) const {
    Record record;
    record.mod_revision = mod_revision_;
    std::vector<model::ProvisioningRequest> open;
    constexpr std::size_t max_single_records = 2;  // the smallest batch has room for them
    double record_bytes = 0;
    bool changed = false;
    // Requests that may have been sent come first: they must stay in the record, whatever else fits.
    for (const bool in_record : {true, false})
        for (const auto& [name, request] : requests_) {
            if (request.is_in_record() != in_record) continue;
            if (!request.is_open()) {
                if (request.own_record_revision && record.single_request_records.size() == max_single_records)
                    continue;
                if (request.own_record_revision)
                    record.single_request_records.emplace_back(records::provisioning_request_key(name),
                                                               request.own_record_revision);
                record.closed.push_back(name);
                changed |= in_record;
                continue;
            }
            const auto value = records::provisioning_request_json(request.request);
            const auto entry_bytes =
                static_cast<double>(boost::json::serialize(value).size() + name.size() + 4);
            if (!in_record && record_bytes + entry_bytes > bytes) continue;
            record_bytes += entry_bytes;
            open.push_back(request.request);
            record.open.push_back(name);
            changed |= !in_record;
        }
    // More requests may be open than fit after the limit was lowered; the stored record then stays until
    // enough of them have a response.
    if (!changed || record_bytes > bytes) return std::nullopt;
    record.value = records::provisioning_requests_json(open);
    record.bytes = static_cast<std::size_t>(record_bytes);
    return record;
}

void ProvisioningRequests::apply_commit(const Record& record, std::uint64_t revision) {
    mod_revision_ = revision;
    for (const auto& name : record.open)
        if (const auto it = requests_.find(name); it != requests_.end()) it->second.mark_durable();
    for (const auto& name : record.closed) requests_.erase(name);
}

std::optional<model::ProvisioningRequest> ProvisioningRequests::take_next() {
    for (auto& [name, request] : requests_) {
        if (!request.is_sendable()) continue;
        request.phase = Phase::in_flight;
        return request.request;
    }
    return std::nullopt;
}

std::optional<model::ProvisioningRequest> ProvisioningRequests::record_response(const std::string& name,
                                                                                std::size_t machines,
                                                                                double now) {
    const auto it = requests_.find(name);
    if (it == requests_.end()) return std::nullopt;
    it->second.close();
    const auto request = it->second.request;
    spdlog::info("provisioning request {}: got {} of {} (term {})", name, machines, request.count,
                 fencing_token_);
    auto& backoff = backoffs_[pool_of(request)];
    backoff.delay_s = 0;
    if (machines < request.count) {
        backoff = {now + c::no_capacity_backoff_s, c::no_capacity_backoff_s};
        withdraw_unsent(request);
    }
    return request;
}

void ProvisioningRequests::record_refusal(const std::string& name, double now) {
    const auto it = requests_.find(name);
    if (it == requests_.end()) return;
    it->second.close();
    const auto& request = it->second.request;
    auto& backoff = backoffs_[pool_of(request)];
    backoff.delay_s = backoff.delay_s <= 0 ? c::no_capacity_backoff_s
                                           : std::min(2 * backoff.delay_s, c::no_capacity_backoff_max_s);
    backoff.until_s = now + backoff.delay_s;
    withdraw_unsent(request);
    spdlog::info("provisioning request {}: no capacity for {} in {}{} (term {})", name, request.type,
                 request.zone, request.spot ? ", spot" : "", fencing_token_);
}

void ProvisioningRequests::record_missing_response(const std::string& name) {
    const auto it = requests_.find(name);
    if (it != requests_.end() && it->second.phase == Phase::in_flight) it->second.phase = Phase::no_response;
}

// Closes the unsent requests to a pool that has just run out of capacity, so that the planner can choose
// another pool. A request that was never sent can be dropped safely, because the cloud does not know its
// name.
void ProvisioningRequests::withdraw_unsent(const model::ProvisioningRequest& refused) {
    for (auto& [name, request] : requests_)
        if (request.is_unsent() && pool_of(request.request) == pool_of(refused)) request.close();
}

}  // namespace pineroad::cluster
