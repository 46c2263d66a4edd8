#include "control/rentals.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "config/constants.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;

void Rentals::load(const Mirror& mirror) {
    stamp_ = mirror.open_rentals.stamp;
    for (const auto& rental : mirror.open_rentals.value) all_[rental.name] = {rental, 0, true};
    for (const auto& [name, single] : mirror.rentals) all_[name] = {single.value, single.stamp, true};
}

void Rentals::want(const sched::Rent& rent) {
    for (std::uint32_t left = rent.count; left > 0;) {
        const auto count = std::min<std::uint32_t>(left, c::rent_count_max);
        left -= count;
        State r;
        // The token is never given twice, so neither is the name.
        r.rental = {"r-" + std::to_string(token_) + "-" + std::to_string(++count_), rent.type, rent.zone,
                    rent.spot, count};
        r.sent = false;
        spdlog::info("rental {}: {} {} in {}{} wanted (term {})", r.rental.name, count, rent.type, rent.zone,
                     rent.spot ? ", spot" : "", token_);
        all_[r.rental.name] = std::move(r);
    }
}

std::vector<model::Rental> Rentals::open() const {
    std::vector<model::Rental> out;
    for (const auto& [name, r] : all_)
        if (!r.answered) out.push_back(r.rental);
    return out;
}

bool Rentals::refused(const sched::Pool& pool, double now) const {
    const auto it = refused_.find({pool.type->name, pool.zone, pool.spot});
    return it != refused_.end() && it->second.until > now;
}

bool Rentals::waiting() const {
    return std::any_of(all_.begin(), all_.end(), [](const auto& r) { return r.second.waits(); });
}

// One record for all: a record each took two changes a rental, and in a crowd, when pools are refused one
// after the other, half of all that the state service accepts.
std::optional<Rentals::Record> Rentals::record(double bytes) const {
    Record out;
    out.stamp = stamp_;
    std::vector<model::Rental> list;
    constexpr std::size_t most_single = 2;  // the smallest commit has room for them
    double size = 0;
    bool news = false;
    // Those that may have been asked for stay in it, whatever else has room.
    for (const bool durable : {true, false})
        for (const auto& [name, r] : all_) {
            if (r.durable != durable) continue;
            if (r.answered) {
                if (r.single_stamp && out.single.size() == most_single) continue;
                if (r.single_stamp) out.single.emplace_back(records::rental_key(name), r.single_stamp);
                out.answered.push_back(name);
                news |= durable;
                continue;
            }
            const double own = static_cast<double>(
                boost::json::serialize(records::rental_json(r.rental)).size() + name.size() + 4);
            if (!durable && size + own > bytes) continue;
            size += own;
            list.push_back(r.rental);
            out.open.push_back(name);
            news |= !durable;
        }
    // Under a larger limit more were open than fit now: the record stands until enough of them are answered.
    if (!news || size > bytes) return std::nullopt;
    out.value = records::rentals_json(list);
    out.bytes = static_cast<std::size_t>(size);
    return out;
}

void Rentals::committed(const Record& record, std::uint64_t epoch) {
    stamp_ = epoch;
    for (const auto& name : record.open)
        if (const auto it = all_.find(name); it != all_.end()) it->second.durable = true;
    for (const auto& name : record.answered) all_.erase(name);
}

std::optional<model::Rental> Rentals::next() {
    for (auto& [name, r] : all_)
        if (r.waits()) {
            r.inflight = r.sent = true;
            return r.rental;
        }
    return std::nullopt;
}

std::optional<model::Rental> Rentals::answered(const std::string& name, std::size_t machines, double now) {
    const auto it = all_.find(name);
    if (it == all_.end()) return std::nullopt;
    it->second.answered = true;
    const auto r = it->second.rental;
    spdlog::info("rental {}: got {} of {} (term {})", name, machines, r.count, token_);
    auto& refusal = refused_[pool_of(r)];
    refusal.pause = 0;
    if (machines < r.count) {
        refusal = {now + c::refused_pause_s, c::refused_pause_s};
        drop_unsent(r);
    }
    return r;
}

void Rentals::refuse(const std::string& name, double now) {
    const auto it = all_.find(name);
    if (it == all_.end()) return;
    it->second.answered = true;
    const auto& r = it->second.rental;
    auto& refusal = refused_[pool_of(r)];
    refusal.pause =
        refusal.pause <= 0 ? c::refused_pause_s : std::min(2 * refusal.pause, c::refused_pause_max_s);
    refusal.until = now + refusal.pause;
    drop_unsent(r);
    spdlog::info("rental {}: no capacity for {} in {}{} (term {})", name, r.type, r.zone,
                 r.spot ? ", spot" : "", token_);
}

void Rentals::unanswered(const std::string& name) {
    if (const auto it = all_.find(name); it != all_.end()) it->second.inflight = false;
}

// What was wanted of a pool that has just run out, and was not asked for yet: another pool may have it. A
// name that never left this process names nothing.
void Rentals::drop_unsent(const model::Rental& refused) {
    for (auto& [name, r] : all_)
        if (!r.sent && pool_of(r.rental) == pool_of(refused)) r.answered = true;
}

}  // namespace pineroad::control
