#include "model/dependency_graph.hpp"

#include <algorithm>
#include <deque>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::model {
namespace {

std::int64_t milliseconds(double seconds) {
    return static_cast<std::int64_t>(seconds * 1000.0);
}

}  // namespace

const DependencyGraph::LiveJob* DependencyGraph::find(const std::string& id) const {
    const auto found = live_.find(id);
    return found == live_.end() ? nullptr : &found->second;
}

DependencyGraph::Change DependencyGraph::add(const JobSpec& spec) {
    Change change;
    auto [entry, added] = live_.try_emplace(spec.id);
    if (!added) return change;
    LiveJob& job = entry->second;
    unresolved_.erase(spec.id);
    job.dependencies = spec.dependencies;
    job.pending_dependencies = spec.dependencies.size();
    job.own_priority = job.priority = spec.priority;
    job.duration_ms = milliseconds(spec.estimate_s + constants::dependency_overhead_s);
    if (spec.deadline_s) job.own_deadline_ms = spec.accepted_ms + milliseconds(*spec.deadline_s);
    add_dependencies(spec.id, job);
    if (job.cancelled) {
        change.cancelled.push_back(spec.id);
        cancel_dependents(spec.id, change);
    }
    std::vector<std::string> changed = spec.dependencies;
    changed.push_back(spec.id);
    update_inherited(changed);
    return change;
}

void DependencyGraph::add_dependencies(const std::string& id, LiveJob& job) {
    for (const auto& dependency : job.dependencies) {
        dependents_[dependency].insert(id);
        if (const auto outcome = outcomes_.find(dependency); outcome != outcomes_.end())
            apply_outcome(job, outcome->second);
        else if (const LiveJob* live_dependency = find(dependency))
            job.cancelled |= live_dependency->cancelled;
        else
            unresolved_.insert(dependency);
    }
}

void DependencyGraph::apply_outcome(LiveJob& dependent, const JobOutcome& outcome) {
    if (outcome.status == FinalStatus::cancelled) {
        dependent.cancelled = true;
        return;
    }
    --dependent.pending_dependencies;
    dependent.ready_since_ms = std::max(dependent.ready_since_ms, outcome.finished_at_ms);
}

DependencyGraph::Change DependencyGraph::record_outcome(const std::string& id, const JobOutcome& outcome) {
    Change change;
    const auto dependents = dependents_.find(id);
    if (dependents == dependents_.end() || !outcomes_.try_emplace(id, outcome).second) return change;
    unresolved_.erase(id);
    if (outcome.status == FinalStatus::cancelled) {
        cancel_dependents(id, change);
        return change;
    }
    for (const auto& dependent : dependents->second) {
        LiveJob& job = live_.at(dependent);
        apply_outcome(job, outcome);
        if (job.pending_dependencies == 0 && !job.cancelled) change.ready.push_back(dependent);
    }
    return change;
}

void DependencyGraph::cancel_dependents(const std::string& id, Change& change) {
    const auto marked = mark_dependents_cancelled(id);
    change.cancelled.insert(change.cancelled.end(), marked.begin(), marked.end());
    std::vector<std::string> dependencies_of_marked;
    for (const auto& job : marked) {
        const auto& dependencies = live_.at(job).dependencies;
        dependencies_of_marked.insert(dependencies_of_marked.end(), dependencies.begin(), dependencies.end());
    }
    update_inherited(dependencies_of_marked);
}

// Visits each job once, regardless of the number of paths to it (nested diamonds have exponentially many):
// the dependents of a job that is already marked have been marked too.
std::vector<std::string> DependencyGraph::mark_dependents_cancelled(const std::string& id) {
    std::vector<std::string> stack{id};
    std::vector<std::string> marked;
    while (!stack.empty()) {
        const auto dependents = dependents_.find(stack.back());
        stack.pop_back();
        if (dependents == dependents_.end()) continue;
        for (const auto& dependent : dependents->second) {
            LiveJob& job = live_.at(dependent);
            if (job.cancelled) continue;
            job.cancelled = true;
            marked.push_back(dependent);
            stack.push_back(dependent);
        }
    }
    return marked;
}

void DependencyGraph::remove(const std::string& id) {
    const auto entry = live_.find(id);
    if (entry == live_.end()) return;
    const auto dependencies = std::move(entry->second.dependencies);
    live_.erase(entry);
    if (dependents_.contains(id) && !outcomes_.contains(id)) unresolved_.insert(id);
    for (const auto& dependency : dependencies) {
        const auto dependents = dependents_.find(dependency);
        dependents->second.erase(id);
        if (!dependents->second.empty()) continue;
        dependents_.erase(dependents);
        outcomes_.erase(dependency);
        unresolved_.erase(dependency);
    }
    update_inherited(dependencies);
}

void DependencyGraph::clear() {
    live_.clear();
    dependents_.clear();
    unresolved_.clear();
}

void DependencyGraph::drop_unreferenced_outcomes() {
    std::erase_if(outcomes_, [&](const auto& entry) { return !dependents_.contains(entry.first); });
}

bool DependencyGraph::update_inherited_of(const std::string& id, LiveJob& job) {
    Priority priority = job.own_priority;
    auto deadline_ms = job.own_deadline_ms;
    if (const auto dependents = dependents_.find(id); dependents != dependents_.end())
        for (const auto& dependent : dependents->second) {
            const LiveJob& dependent_job = live_.at(dependent);
            if (dependent_job.cancelled) continue;
            priority = std::min(priority, dependent_job.priority);
            if (!dependent_job.deadline_ms) continue;
            const auto latest_start_ms = *dependent_job.deadline_ms - dependent_job.duration_ms;
            deadline_ms = deadline_ms ? std::min(*deadline_ms, latest_start_ms) : latest_start_ms;
        }
    if (priority == job.priority && deadline_ms == job.deadline_ms) return false;
    job.priority = priority;
    job.deadline_ms = deadline_ms;
    return true;
}

// Uses a FIFO queue that holds no job twice, which bounds the work by jobs times dependencies. A stack would
// follow every path through a diamond.
void DependencyGraph::update_inherited(const std::vector<std::string>& changed) {
    std::deque<std::string> queue;
    std::set<std::string> queued;
    const auto enqueue = [&](const std::vector<std::string>& jobs) {
        for (const auto& job : jobs)
            if (live_.contains(job) && queued.insert(job).second) queue.push_back(job);
    };
    enqueue(changed);
    while (!queue.empty()) {
        const auto id = std::move(queue.front());
        queue.pop_front();
        queued.erase(id);
        LiveJob& job = live_.at(id);
        if (update_inherited_of(id, job)) enqueue(job.dependencies);
    }
}

bool DependencyGraph::is_ready(const std::string& id) const {
    const LiveJob* job = find(id);
    return job && job->pending_dependencies == 0 && !job->cancelled;
}

bool DependencyGraph::is_cancelled(const std::string& id) const {
    const LiveJob* job = find(id);
    return job && job->cancelled;
}

std::vector<std::string> DependencyGraph::cancelled() const {
    std::vector<std::string> ids;
    for (const auto& [id, job] : live_)
        if (job.cancelled) ids.push_back(id);
    return ids;
}

std::optional<std::int64_t> DependencyGraph::ready_since_ms(const std::string& id) const {
    const LiveJob* job = find(id);
    if (!job || job->dependencies.empty() || job->pending_dependencies > 0) return std::nullopt;
    return job->ready_since_ms;
}

Priority DependencyGraph::priority(const JobSpec& spec) const {
    const LiveJob* job = find(spec.id);
    return job ? job->priority : spec.priority;
}

std::optional<std::int64_t> DependencyGraph::deadline_ms(const JobSpec& spec) const {
    const LiveJob* job = find(spec.id);
    return job ? job->deadline_ms : std::nullopt;
}

bool DependencyGraph::in_pipeline(const JobSpec& spec) const {
    return !spec.dependencies.empty() || (!spec.deadline_s && dependents_.contains(spec.id));
}

std::vector<std::string> DependencyGraph::unresolved() const {
    return {unresolved_.begin(), unresolved_.end()};
}

std::vector<std::string> DependencyGraph::unresolved_ancestors(const std::string& id) const {
    std::set<std::string> seen, found;
    std::vector<std::string> stack{id};
    while (!stack.empty() && !unresolved_.empty()) {
        const LiveJob* job = find(stack.back());
        stack.pop_back();
        if (!job) continue;
        for (const auto& dependency : job->dependencies) {
            if (!seen.insert(dependency).second) continue;
            if (unresolved_.contains(dependency))
                found.insert(dependency);
            else
                stack.push_back(dependency);
        }
    }
    return {found.begin(), found.end()};
}

}  // namespace pineroad::model
