#include "store/watch_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::store {

namespace records = wire::records;

void ArrivalTracker::arrived(const model::JobSpec& spec, double now) {
    if (!classes_.contains(spec.job_class) && classes_.size() >= constants::demand_classes) return;
    auto& k = classes_[spec.job_class];
    if (k.arrivals.empty() && k.first == 0) k.first = now;
    k.sample = spec;
    k.arrivals.push_back(now);
    while (k.arrivals.size() > constants::demand_arrivals ||
           (!k.arrivals.empty() && k.arrivals.front() < now - constants::demand_window_s))
        k.arrivals.pop_front();
}

std::map<std::string, scheduling::ClassDemand> ArrivalTracker::classes(const config::Settings& settings,
                                                                       double now) const {
    std::map<std::string, scheduling::ClassDemand> out;
    for (const auto& [name, k] : classes_) {
        auto& d = out[name];
        d.sample = k.sample;
        const double from = std::max(k.first + constants::demand_settle_s, now - constants::demand_window_s);
        const auto n =
            std::count_if(k.arrivals.begin(), k.arrivals.end(), [&](double t) { return t >= from; });
        d.arrivals_per_s = static_cast<double>(n) / std::max(now - from, constants::min_demand_window_s);
        for (const auto& o : settings.objectives)
            if (o.job_class == name && o.kind == "wait" && o.within_s)
                d.start_within_s = std::min(d.start_within_s.value_or(*o.within_s), *o.within_s);
    }
    return out;
}

WatchCache::WatchCache() : outcomes_(constants::outcome_cache_size) {}

void WatchCache::clear() {
    ready = false;
    revision = 0;
    jobs.clear();
    progress.clear();
    segments.clear();
    latest_.clear();
    open_provisioning_requests = {};
    provisioning_records.clear();
    leader.reset();
    term = {};
    machine_types.reset();
    category_averages = {};
    format = {};
    dependencies_.clear();
    dependency_records_.clear();
    incomplete_.clear();
}

void WatchCache::complete() {
    ready = true;
    dependencies_.forget_unneeded();
}

std::optional<model::FinalStatus> WatchCache::outcome_of(const std::string& id) {
    if (const auto ending = outcomes_.get(id)) return ending->status;
    if (dependencies_.is_cancelled(id)) return model::FinalStatus::cancelled;
    return std::nullopt;
}

void WatchCache::record_outcome(const std::string& id, const model::JobOutcome& ending,
                                std::uint64_t revision) {
    outcomes_.insert(id, ending);
    const auto change = dependencies_.end(id, ending);
    if (ending.status == model::FinalStatus::cancelled) {
        const bool fresh = cancellations_.add(id, revision);
        if (on_cancelled) on_cancelled(id, fresh);
    }
    dependencies_changed(change);
}

void WatchCache::dependencies_changed(const model::DependencyGraph::Change& change) {
    for (const auto& id : change.ready)
        if (const auto job = jobs.find(id); job != jobs.end()) demand.arrived(job->second.value, now_);
    if (on_dependencies && !(change.ready.empty() && change.cancelled.empty())) on_dependencies(change);
}

void WatchCache::add_job(model::JobSpec spec, std::uint64_t mod_revision, double now) {
    now_ = now;
    const std::string id = spec.id;
    if (!assemble(spec)) {
        incomplete_[id] = {std::move(spec), mod_revision};
        return;
    }
    const bool fresh = !jobs.contains(id);
    auto& job = jobs[id] = {std::move(spec), mod_revision};
    if (!fresh) return;
    auto change = dependencies_.add(job.value);
    if (on_job) on_job(job.value, mod_revision);
    // Until its dependencies are done a job asks for nothing.
    if (dependencies_.is_ready(id)) demand.arrived(job.value, now);
    dependencies_changed(change);
    for (const auto& dependency : job.value.dependencies)
        if (const auto ending = outcomes_.get(dependency))
            dependencies_changed(dependencies_.end(dependency, *ending));
}

// False while a record of the end of its list is missing.
bool WatchCache::assemble(model::JobSpec& spec) const {
    const auto at = dependency_records_.find(spec.id);
    const auto found = at == dependency_records_.end() ? 0 : at->second.size();
    if (found < spec.dependency_records) return false;
    if (spec.dependency_records == 0) return true;
    for (const auto& [number, list] : at->second)
        spec.dependencies.insert(spec.dependencies.end(), list.begin(), list.end());
    return true;
}

void WatchCache::add_dependency_record(const std::string& name, const wire::Json& value, double now) {
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
    add_job(std::move(job.value), job.mod_revision, now);
}

void WatchCache::apply_row(const std::string& key, const wire::Json& value, std::uint64_t mod_revision,
                           double now) {
    auto put = [&](auto& map, const std::string& id, auto parsed) {
        if (parsed)
            map[id] = {std::move(*parsed), mod_revision};
        else
            spdlog::error("record {} cannot be read", key);
        return map.contains(id);
    };
    if (auto id = records::under(key, records::job_prefix)) {
        if (auto spec = records::parse_job(*id, value))
            add_job(std::move(*spec), mod_revision, now);
        else
            spdlog::error("record {} cannot be read", key);
    } else if (auto list = records::under(key, records::dependencies_prefix)) {
        add_dependency_record(*list, value, now);
    } else if (auto pid = records::under(key, records::progress_prefix)) {
        auto parsed = records::parse_progress(value);
        if (!parsed)
            spdlog::error("record {} cannot be read", key);
        else if (const auto it = progress.find({*pid, 0}); it == progress.end() || it->second.segment.empty())
            progress[{*pid, 0}] = {std::move(*parsed), mod_revision, ""};
    } else if (auto segment = records::under(key, records::segment_prefix)) {
        apply_segment(*segment, value, mod_revision);
    } else if (auto name = records::under(key, records::provisioning_request_prefix)) {
        put(provisioning_records, *name, records::parse_provisioning_request(*name, value));
    } else if (auto fid = records::under(key, records::outcome_prefix)) {
        if (const auto f = records::parse_outcome(value)) record_outcome(*fid, *f, mod_revision);
    } else if (key == records::provisioning_requests_key) {
        if (auto list = records::parse_provisioning_requests(value))
            open_provisioning_requests = {std::move(*list), mod_revision};
        else
            spdlog::error("record {} cannot be read", key);
    } else if (key == records::leader_key) {
        if (auto l = records::parse_leader(value)) leader = {*l, mod_revision};
    } else if (key == records::term_key) {
        if (auto t = records::parse_term(value)) term = {*t, mod_revision};
    } else if (key == records::machine_types_key) {
        if (auto t = wire::parse_machine_types(value)) machine_types = {*t, mod_revision};
    } else if (key == records::format_key) {
        if (auto controllers = records::parse_format(value)) format = {std::move(*controllers), mod_revision};
    } else if (key == records::category_averages_key) {
        category_averages = {records::parse_category_averages(value), mod_revision};
    }
}

void WatchCache::apply_segment(const std::string& name, const wire::Json& value, std::uint64_t mod_revision) {
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
    known = {entries->sequence, {}, mod_revision};
    for (auto& [entry, p] : entries->entries) {
        known.entries.push_back(entry);
        auto& latest = latest_[entry];  // {0, 0} comes before all
        if (latest > entries->sequence) continue;
        latest = entries->sequence;
        if (p)
            progress[entry] = {std::move(*p), mod_revision, name};
        else
            progress.erase(entry);
    }
}

bool WatchCache::is_current(const EntryName& entry, const model::Placement& placement) const {
    const auto shard = placement.index / constants::tasks_per_shard;
    return shard == entry.shard || !progress.contains({entry.job, shard});
}

WatchCache::TaskCounts WatchCache::task_counts(const std::string& id) const {
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

void WatchCache::apply_drop(const std::string& key) {
    if (auto id = records::under(key, records::job_prefix)) {
        jobs.erase(*id);
        incomplete_.erase(*id);
        dependency_records_.erase(*id);
        dependencies_.remove(*id);
    } else if (auto pid = records::under(key, records::progress_prefix)) {
        if (const auto at = progress.find({*pid, 0}); at != progress.end() && at->second.segment.empty())
            progress.erase(at);
    } else if (auto name = records::under(key, records::provisioning_request_prefix)) {
        provisioning_records.erase(*name);
    } else if (key == records::leader_key) {
        leader.reset();
    }
}

void WatchCache::apply(const wire::WatchEvents& e, double now) {
    // Two watches may answer out of order; each holds all that came after its start, so what is known is
    // skipped.
    for (const auto& event : e.events) {
        if (event.mod_revision <= revision) continue;
        if (event.value)
            apply_row(event.key, *event.value, event.mod_revision, now);
        else
            apply_drop(event.key);
    }
    revision = std::max(revision, e.revision);
    now_ = now;
}

}  // namespace pineroad::store
