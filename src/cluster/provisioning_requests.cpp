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
    for (const auto& rental : watch_cache.open_provisioning_requests.value)
        all_[rental.name] = {rental, 0, true};
    for (const auto& [name, single] : watch_cache.provisioning_records)
        all_[name] = {single.value, single.mod_revision, true};
}

void ProvisioningRequests::want(const scheduling::ScaleOut& rent) {
    for (std::uint32_t left = rent.count; left > 0;) {
        const auto count = std::min<std::uint32_t>(left, c::max_machines_per_request);
        left -= count;
        State r;
        // The token is never given twice, so neither is the name.
        r.rental = {"r-" + std::to_string(fencing_token_) + "-" + std::to_string(++count_), rent.type,
                    rent.zone, rent.spot, count};
        r.sent = false;
        spdlog::info("rental {}: {} {} in {}{} wanted (term {})", r.rental.name, count, rent.type, rent.zone,
                     rent.spot ? ", spot" : "", fencing_token_);
        all_[r.rental.name] = std::move(r);
    }
}

std::vector<model::ProvisioningRequest> ProvisioningRequests::open() const {
    std::vector<model::ProvisioningRequest> out;
    for (const auto& [name, r] : all_)
        if (!r.answered) out.push_back(r.rental);
    return out;
}

bool ProvisioningRequests::refused(const scheduling::MachinePool& pool, double now) const {
    const auto it = store_refusal_.find({pool.type->name, pool.zone, pool.spot});
    return it != store_refusal_.end() && it->second.until > now;
}

bool ProvisioningRequests::waiting() const {
    return std::any_of(all_.begin(), all_.end(), [](const auto& r) { return r.second.waits(); });
}

// One record for all: a record each took two changes a rental, and in a crowd, when pools are refused one
// after the other, half of all that the state service accepts.
std::optional<ProvisioningRequests::Record> ProvisioningRequests::record(double bytes) const {
    Record out;
    out.mod_revision = mod_revision_;
    std::vector<model::ProvisioningRequest> list;
    constexpr std::size_t most_single = 2;  // the smallest commit has room for them
    double size = 0;
    bool news = false;
    // Those that may have been asked for stay in it, whatever else has room.
    for (const bool durable : {true, false})
        for (const auto& [name, r] : all_) {
            if (r.durable != durable) continue;
            if (r.answered) {
                if (r.own_record_revision && out.single.size() == most_single) continue;
                if (r.own_record_revision)
                    out.single.emplace_back(records::provisioning_request_key(name), r.own_record_revision);
                out.answered.push_back(name);
                news |= durable;
                continue;
            }
            const double own = static_cast<double>(
                boost::json::serialize(records::provisioning_request_json(r.rental)).size() + name.size() +
                4);
            if (!durable && size + own > bytes) continue;
            size += own;
            list.push_back(r.rental);
            out.open.push_back(name);
            news |= !durable;
        }
    // Under a larger limit more were open than fit now: the record stands until enough of them are answered.
    if (!news || size > bytes) return std::nullopt;
    out.value = records::provisioning_requests_json(list);
    out.bytes = static_cast<std::size_t>(size);
    return out;
}

void ProvisioningRequests::apply_commit(const Record& record, std::uint64_t revision) {
    mod_revision_ = revision;
    for (const auto& name : record.open)
        if (const auto it = all_.find(name); it != all_.end()) it->second.durable = true;
    for (const auto& name : record.answered) all_.erase(name);
}

std::optional<model::ProvisioningRequest> ProvisioningRequests::next() {
    for (auto& [name, r] : all_)
        if (r.waits()) {
            r.inflight = r.sent = true;
            return r.rental;
        }
    return std::nullopt;
}

std::optional<model::ProvisioningRequest> ProvisioningRequests::answered(const std::string& name,
                                                                         std::size_t machines, double now) {
    const auto it = all_.find(name);
    if (it == all_.end()) return std::nullopt;
    it->second.answered = true;
    const auto r = it->second.rental;
    spdlog::info("rental {}: got {} of {} (term {})", name, machines, r.count, fencing_token_);
    auto& refusal = store_refusal_[pool_of(r)];
    refusal.pause = 0;
    if (machines < r.count) {
        refusal = {now + c::no_capacity_backoff_s, c::no_capacity_backoff_s};
        withdraw_unsent(r);
    }
    return r;
}

void ProvisioningRequests::reject(const std::string& name, double now) {
    const auto it = all_.find(name);
    if (it == all_.end()) return;
    it->second.answered = true;
    const auto& r = it->second.rental;
    auto& refusal = store_refusal_[pool_of(r)];
    refusal.pause = refusal.pause <= 0 ? c::no_capacity_backoff_s
                                       : std::min(2 * refusal.pause, c::no_capacity_backoff_max_s);
    refusal.until = now + refusal.pause;
    withdraw_unsent(r);
    spdlog::info("rental {}: no capacity for {} in {}{} (term {})", name, r.type, r.zone,
                 r.spot ? ", spot" : "", fencing_token_);
}

void ProvisioningRequests::unanswered(const std::string& name) {
    if (const auto it = all_.find(name); it != all_.end()) it->second.inflight = false;
}

// What was wanted of a pool that has just run out, and was not asked for yet: another pool may have it. A
// name that never left this process names nothing.
void ProvisioningRequests::withdraw_unsent(const model::ProvisioningRequest& refused) {
    for (auto& [name, r] : all_)
        if (!r.sent && pool_of(r.rental) == pool_of(refused)) r.answered = true;
}

}  // namespace pineroad::cluster
