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
    format = {};
    dependencies_.clear();
    dependency_records_.clear();
    incomplete_.clear();
}

void Mirror::complete() {
    ready = true;
    dependencies_.forget_unneeded();
}

std::optional<model::Final> Mirror::final_of(const std::string& id) {
    if (const auto ending = finals_.get(id)) return ending->final;
    if (dependencies_.is_cancelled(id)) return model::Final::cancelled;
    return std::nullopt;
}

void Mirror::learn_final(const std::string& id, const model::Ending& ending, std::uint64_t revision) {
    finals_.insert(id, ending);
    const auto change = dependencies_.end(id, ending);
    if (ending.final == model::Final::cancelled) {
        const bool fresh = cancellations_.learn(id, revision);
        if (on_cancelled) on_cancelled(id, fresh);
    }
    dependencies_changed(change);
}

void Mirror::dependencies_changed(const model::DependencyGraph::Change& change) {
    for (const auto& id : change.ready)
        if (const auto job = jobs.find(id); job != jobs.end()) demand.arrived(job->second.value, now_);
    if (on_dependencies && !(change.ready.empty() && change.cancelled.empty())) on_dependencies(change);
}

void Mirror::add_job(model::JobSpec spec, std::uint64_t stamp, double now) {
    now_ = now;
    const std::string id = spec.id;
    if (!assemble(spec)) {
        incomplete_[id] = {std::move(spec), stamp};
        return;
    }
    const bool fresh = !jobs.contains(id);
    auto& job = jobs[id] = {std::move(spec), stamp};
    if (!fresh) return;
    auto change = dependencies_.add(job.value);
    if (on_job) on_job(job.value, stamp);
    // Until its dependencies are done a job asks for nothing.
    if (dependencies_.is_ready(id)) demand.arrived(job.value, now);
    dependencies_changed(change);
    for (const auto& dependency : job.value.dependencies)
        if (const auto ending = finals_.get(dependency))
            dependencies_changed(dependencies_.end(dependency, *ending));
}

// False while a record of the end of its list is missing.
bool Mirror::assemble(model::JobSpec& spec) const {
    const auto at = dependency_records_.find(spec.id);
    const auto found = at == dependency_records_.end() ? 0 : at->second.size();
    if (found < spec.dependency_records) return false;
    if (spec.dependency_records == 0) return true;
    for (const auto& [number, list] : at->second)
        spec.dependencies.insert(spec.dependencies.end(), list.begin(), list.end());
    return true;
}

void Mirror::add_dependency_record(const std::string& name, const wire::Json& value, double now) {
    const auto slash = name.find('/');
    auto list = records::parse_dependencies(value);
    if (slash == std::string::npos || !list) {
        spdlog::error("record {}{} cannot be read", records::dependencies_prefix, name);
        return;
    }
    const auto id = name.substr(0, slash);
    dependency_records_[id][name.substr(slash + 1)] = std::move(*list);
    const auto waiting = incomplete_.find(id);
    if (waiting == incomplete_.end()) return;
    auto job = std::move(waiting->second);
    incomplete_.erase(waiting);
    add_job(std::move(job.value), job.stamp, now);
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
        if (auto spec = records::parse_job(*id, value))
            add_job(std::move(*spec), stamp, now);
        else
            spdlog::error("record {} cannot be read", key);
    } else if (auto list = records::under(key, records::dependencies_prefix)) {
        add_dependency_record(*list, value, now);
    } else if (auto pid = records::under(key, records::progress_prefix)) {
        auto parsed = records::parse_progress(value);
        if (!parsed)
            spdlog::error("record {} cannot be read", key);
        else if (const auto it = progress.find({*pid, 0}); it == progress.end() || it->second.segment.empty())
            progress[{*pid, 0}] = {std::move(*parsed), stamp, ""};
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
    } else if (key == records::format_key) {
        if (auto controllers = records::parse_format(value)) format = {std::move(*controllers), stamp};
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
    for (const auto& entry : known.entries)
        if (const auto at = latest_.find(entry); at != latest_.end() && at->second == known.sequence) {
            latest_.erase(at);
            progress.erase(entry);
        }
    known = {entries->sequence, {}, stamp};
    for (auto& [entry, p] : entries->entries) {
        known.entries.push_back(entry);
        auto& latest = latest_[entry];  // {0, 0} comes before all
        if (latest > entries->sequence) continue;
        latest = entries->sequence;
        if (p)
            progress[entry] = {std::move(*p), stamp, name};
        else
            progress.erase(entry);
    }
}

bool Mirror::is_current(const EntryName& entry, const model::Placement& placement) const {
    const auto part = placement.index / constants::part_tasks;
    return part == entry.part || !progress.contains({entry.job, part});
}

Mirror::TaskCounts Mirror::task_counts(const std::string& id) const {
    model::TaskSet done;
    TaskCounts out;
    for (auto at = progress.lower_bound({id, 0}); at != progress.end() && at->first.job == id; ++at) {
        const auto& entry = at->second.value;
        done += entry.done;
        for (const auto& placement : entry.placements) out.placed += is_current(at->first, placement);
    }
    out.done = done.size();
    return out;
}

void Mirror::apply_drop(const std::string& key) {
    if (auto id = records::under(key, records::job_prefix)) {
        jobs.erase(*id);
        incomplete_.erase(*id);
        dependency_records_.erase(*id);
        dependencies_.remove(*id);
    } else if (auto pid = records::under(key, records::progress_prefix)) {
        if (const auto at = progress.find({*pid, 0}); at != progress.end() && at->second.segment.empty())
            progress.erase(at);
    } else if (auto name = records::under(key, records::rental_prefix)) {
        rentals.erase(*name);
    } else if (key == records::leader_key) {
        leader.reset();
    }
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
    now_ = now;
}

}  // namespace pineroad::control
