#include "store/watch_cache.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::store {

WatchCache::WatchCache() : recent_outcomes_(constants::max_cached_outcomes) {}

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
    record_format_readers = {};
    dependencies_.clear();
    dependency_assembler_.clear();
}

void WatchCache::apply(const wire::WatchEvents& events, double now) {
    for (const auto& event : events.events) {
        if (event.mod_revision <= revision) continue;
        if (event.value) {
            apply_put(event.key, *event.value, event.mod_revision, now);
        } else {
            apply_delete(event.key);
        }
    }
    revision = std::max(revision, events.revision);
    last_event_s_ = now;
}

void WatchCache::mark_ready() {
    ready = true;
    dependencies_.drop_unreferenced_outcomes();
}

void WatchCache::record_outcome(const std::string& id, const model::JobOutcome& outcome,
                                std::uint64_t mod_revision) {
    recent_outcomes_.insert(id, outcome);
    const auto change = dependencies_.record_outcome(id, outcome);
    if (outcome.status == model::FinalStatus::cancelled) {
        const bool is_new = cancellations_.add(id, mod_revision);
        if (on_job_cancelled) on_job_cancelled(id, is_new);
    }
    notify_dependency_change(change);
}

std::optional<model::FinalStatus> WatchCache::outcome_of(const std::string& id) {
    if (const auto outcome = recent_outcomes_.get(id)) return outcome->status;
    if (dependencies_.is_cancelled(id)) return model::FinalStatus::cancelled;
    return std::nullopt;
}

void WatchCache::notify_dependency_change(const model::DependencyGraph::Change& change) {
    for (const auto& id : change.ready)
        if (const auto job = jobs.find(id); job != jobs.end())
            demand.record_arrival(job->second.value, last_event_s_);
    if (on_dependency_change && !(change.ready.empty() && change.cancelled.empty()))
        on_dependency_change(change);
}

void WatchCache::add_job(Versioned<model::JobSpec> added, double now) {
    last_event_s_ = now;
    const std::string id = added.value.id;
    const bool is_new = !jobs.contains(id);
    auto& job = jobs[id] = std::move(added);
    if (!is_new) return;
    const auto change = dependencies_.add(job.value);
    if (on_job_added) on_job_added(job.value, job.mod_revision);
    // A job adds to the demand only once its dependencies are done.
    if (dependencies_.is_ready(id)) demand.record_arrival(job.value, now);
    notify_dependency_change(change);
    for (const auto& dependency : job.value.dependencies)
        if (const auto outcome = recent_outcomes_.get(dependency))
            notify_dependency_change(dependencies_.record_outcome(dependency, *outcome));
}

}  // namespace pineroad::store
