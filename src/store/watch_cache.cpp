#include "store/watch_cache.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::store {

WatchCache::WatchCache() : outcomes_(constants::max_cached_outcomes) {}

void WatchCache::clear() {
    ready = false;
    revision = 0;
    jobs.clear();
    progress.clear();
    open_provisioning_requests = {};
    provisioning_records.clear();
    leader.reset();
    term = {};
    machine_types.reset();
    category_averages = {};
    format = {};
    dependencies_.clear();
    dependency_assembler_.clear();
}

void WatchCache::apply(const wire::WatchEvents& events, double now) {
    for (const auto& event : events.events) {
        if (event.mod_revision <= revision) continue;
        if (event.value) {
            apply_row(event.key, *event.value, event.mod_revision, now);
        } else {
            apply_drop(event.key);
        }
    }
    revision = std::max(revision, events.revision);
    now_ = now;
}

void WatchCache::complete() {
    ready = true;
    dependencies_.drop_unreferenced_outcomes();
}

void WatchCache::record_outcome(const std::string& id, const model::JobOutcome& outcome,
                                std::uint64_t mod_revision) {
    outcomes_.insert(id, outcome);
    const auto change = dependencies_.record_outcome(id, outcome);
    if (outcome.status == model::FinalStatus::cancelled) {
        const bool fresh = cancellations_.add(id, mod_revision);
        if (on_cancelled) on_cancelled(id, fresh);
    }
    dependencies_changed(change);
}

std::optional<model::FinalStatus> WatchCache::outcome_of(const std::string& id) {
    if (const auto outcome = outcomes_.get(id)) return outcome->status;
    if (dependencies_.is_cancelled(id)) return model::FinalStatus::cancelled;
    return std::nullopt;
}

void WatchCache::dependencies_changed(const model::DependencyGraph::Change& change) {
    for (const auto& id : change.ready)
        if (const auto job = jobs.find(id); job != jobs.end()) demand.arrived(job->second.value, now_);
    if (on_dependencies && !(change.ready.empty() && change.cancelled.empty())) on_dependencies(change);
}

void WatchCache::add_job(Versioned<model::JobSpec> added, double now) {
    now_ = now;
    const std::string id = added.value.id;
    const bool fresh = !jobs.contains(id);
    auto& job = jobs[id] = std::move(added);
    if (!fresh) return;
    const auto change = dependencies_.add(job.value);
    if (on_job) on_job(job.value, job.mod_revision);
    // Until its dependencies are done a job adds nothing to the demand.
    if (dependencies_.is_ready(id)) demand.arrived(job.value, now);
    dependencies_changed(change);
    for (const auto& dependency : job.value.dependencies)
        if (const auto outcome = outcomes_.get(dependency))
            dependencies_changed(dependencies_.record_outcome(dependency, *outcome));
}

}  // namespace pineroad::store
