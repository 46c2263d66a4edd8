#include "control/mirror.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::control {

namespace records = wire::records;

void Demand::arrived(const model::JobSpec& spec, double now) {
    if (!classes_.contains(spec.job_class) && classes_.size() >= constants::demand_classes) return;
    auto& k = classes_[spec.job_class];
    if (k.arrivals.empty() && k.first == 0) k.first = now;
    k.sample = spec;
    k.arrivals.push_back(now);
    while (k.arrivals.size() > constants::demand_arrivals ||
           (!k.arrivals.empty() && k.arrivals.front() < now - constants::demand_window_s))
        k.arrivals.pop_front();
}

std::map<std::string, sched::ClassDemand> Demand::classes(const config::Settings& settings,
                                                          double now) const {
    std::map<std::string, sched::ClassDemand> out;
    for (const auto& [name, k] : classes_) {
        auto& d = out[name];
        d.sample = k.sample;
        const double from = std::max(k.first + constants::demand_settle_s, now - constants::demand_window_s);
        const auto n =
            std::count_if(k.arrivals.begin(), k.arrivals.end(), [&](double t) { return t >= from; });
        d.arrivals_per_s = static_cast<double>(n) / std::max(now - from, constants::demand_least_s);
        for (const auto& o : settings.objectives)
            if (o.job_class == name && o.kind == "wait" && o.within_s)
                d.start_within_s = std::min(d.start_within_s.value_or(*o.within_s), *o.within_s);
    }
    return out;
}

Mirror::Mirror() : finals_(constants::final_cache) {}

void Mirror::clear() {
    ready = false;
    epoch = 0;
    jobs.clear();
    progress.clear();
    segments.clear();
    latest_.clear();
    open_rentals = {};
    rentals.clear();
    leader.reset();
    term = {};
    types.reset();
    means = {};
}

std::optional<model::Final> Mirror::final_of(const std::string& id) {
    if (auto f = finals_.get(id)) return *f;
    return std::nullopt;
}
void Mirror::learn_final(const std::string& id, model::Final f, std::uint64_t revision) {
    finals_.insert(id, f);
    if (f != model::Final::cancelled) return;
    const bool fresh = cancellations_.learn(id, revision);
    if (on_cancelled) on_cancelled(id, fresh);
}

void Mirror::apply_row(const std::string& key, const wire::Json& value, std::uint64_t stamp, double now) {
    auto put = [&](auto& map, const std::string& id, auto parsed) {
        if (parsed)
            map[id] = {std::move(*parsed), stamp};
        else
            spdlog::error("record {} cannot be read", key);
        return map.contains(id);
    };
    if (auto id = records::under(key, records::job_prefix)) {
        const bool fresh = !jobs.contains(*id);
        if (put(jobs, *id, records::parse_job(*id, value)) && fresh) {
            demand.arrived(jobs[*id].value, now);
            if (on_job) on_job(jobs[*id].value, stamp);
        }
    } else if (auto pid = records::under(key, records::progress_prefix)) {
        auto parsed = records::parse_progress(value);
        if (!parsed)
            spdlog::error("record {} cannot be read", key);
        else if (const auto it = progress.find(*pid); it == progress.end() || it->second.segment.empty())
            progress[*pid] = {std::move(*parsed), stamp, ""};
    } else if (auto segment = records::under(key, records::segment_prefix)) {
        apply_segment(*segment, value, stamp);
    } else if (auto name = records::under(key, records::rental_prefix)) {
        put(rentals, *name, records::parse_rental(*name, value));
    } else if (auto fid = records::under(key, records::final_prefix)) {
        if (const auto f = records::parse_final(value)) learn_final(*fid, *f, stamp);
    } else if (key == records::rentals_key) {
        if (auto list = records::parse_rentals(value))
            open_rentals = {std::move(*list), stamp};
        else
            spdlog::error("record {} cannot be read", key);
    } else if (key == records::leader_key) {
        if (auto l = records::parse_leader(value)) leader = {*l, stamp};
    } else if (key == records::term_key) {
        if (auto t = records::parse_term(value)) term = {*t, stamp};
    } else if (key == records::types_key) {
        if (auto t = wire::parse_types(value)) types = {*t, stamp};
    } else if (key == records::means_key) {
        means = {records::parse_means(value), stamp};
    }
}

void Mirror::apply_segment(const std::string& name, const wire::Json& value, std::uint64_t stamp) {
    auto entries = records::parse_segment(value);
    if (!entries) {
        spdlog::error("segment {} cannot be read", name);
        return;
    }
    // Written over: what it said before is needed no more.
    auto& known = segments[name];
    for (const auto& id : known.jobs)
        if (const auto at = latest_.find(id); at != latest_.end() && at->second == known.sequence) {
            latest_.erase(at);
            progress.erase(id);
        }
    known = {entries->sequence, {}, stamp};
    for (auto& [id, p] : entries->jobs) {
        known.jobs.push_back(id);
        auto& latest = latest_[id];  // {0, 0} comes before all
        if (latest > entries->sequence) continue;
        latest = entries->sequence;
        if (p)
            progress[id] = {std::move(*p), stamp, name};
        else
            progress.erase(id);
    }
}

void Mirror::apply_drop(const std::string& key) {
    if (auto id = records::under(key, records::job_prefix))
        jobs.erase(*id);
    else if (auto pid = records::under(key, records::progress_prefix))
        std::erase_if(progress, [&](const auto& p) { return p.first == *pid && p.second.segment.empty(); });
    else if (auto name = records::under(key, records::rental_prefix))
        rentals.erase(*name);
    else if (key == records::leader_key)
        leader.reset();
}

void Mirror::apply(const wire::Events& e, double now) {
    // Two watches may answer out of order; each holds all that came after its start, so what is known is
    // skipped.
    for (const auto& event : e.events) {
        if (event.stamp <= epoch) continue;
        if (event.value)
            apply_row(event.key, *event.value, event.stamp, now);
        else
            apply_drop(event.key);
    }
    epoch = std::max(epoch, e.epoch);
}

}  // namespace pineroad::control
