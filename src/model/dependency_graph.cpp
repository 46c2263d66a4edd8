#include "model/dependency_graph.hpp"

#include <algorithm>
#include <deque>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::model {

const DependencyGraph::Controller* DependencyGraph::find(const std::string& id) const {
    const auto at = live_.find(id);
    return at == live_.end() ? nullptr : &at->second;
}

DependencyGraph::Change DependencyGraph::add(const JobSpec& spec) {
    Change change;
    auto [at, fresh] = live_.try_emplace(spec.id);
    if (!fresh) return change;
    Controller& node = at->second;
    open_.erase(spec.id);
    node.dependencies = spec.dependencies;
    node.pending = spec.dependencies.size();
    node.own_priority = node.priority = spec.priority;
    node.duration_ms =
        static_cast<std::int64_t>((spec.estimate_s + constants::dependency_overhead_s) * 1000.0);
    if (spec.deadline_s)
        node.own_deadline_ms = spec.accepted_ms + static_cast<std::int64_t>(*spec.deadline_s * 1000.0);
    for (const auto& dependency : spec.dependencies) {
        dependents_[dependency].insert(spec.id);
        if (const auto ending = outcomes_.find(dependency); ending != outcomes_.end())
            settle(node, ending->second);
        else if (const Controller* before = find(dependency))
            node.cancelled |= before->cancelled;
        else
            open_.insert(dependency);
    }
    if (node.cancelled) {
        change.cancelled.push_back(spec.id);
        cancel_after(spec.id, change);
    }
    std::vector<std::string> changed = spec.dependencies;
    changed.push_back(spec.id);
    inherit(changed);
    return change;
}

void DependencyGraph::settle(Controller& dependent, const JobOutcome& ending) {
    if (ending.status == FinalStatus::cancelled) {
        dependent.cancelled = true;
        return;
    }
    --dependent.pending;
    dependent.ready_since_ms = std::max(dependent.ready_since_ms, ending.ended_at_ms);
}

DependencyGraph::Change DependencyGraph::end(const std::string& id, const JobOutcome& ending) {
    Change change;
    const auto after = dependents_.find(id);
    if (after == dependents_.end() || !outcomes_.try_emplace(id, ending).second) return change;
    open_.erase(id);
    if (ending.status == FinalStatus::cancelled) {
        cancel_after(id, change);
        return change;
    }
    for (const auto& dependent : after->second) {
        Controller& node = live_.at(dependent);
        settle(node, ending);
        if (node.pending == 0 && !node.cancelled) change.ready.push_back(dependent);
    }
    return change;
}

// Each job once, whatever the number of paths to it: a job that is marked already has had its dependents
// marked. (A diamond of diamonds has exponentially many paths.)
void DependencyGraph::cancel_after(const std::string& id, Change& change) {
    std::vector<std::string> open{id};
    std::vector<std::string> marked;
    while (!open.empty()) {
        const auto after = dependents_.find(open.back());
        open.pop_back();
        if (after == dependents_.end()) continue;
        for (const auto& dependent : after->second) {
            Controller& node = live_.at(dependent);
            if (node.cancelled) continue;
            node.cancelled = true;
            marked.push_back(dependent);
            open.push_back(dependent);
        }
    }
    change.cancelled.insert(change.cancelled.end(), marked.begin(), marked.end());
    std::vector<std::string> before;
    for (const auto& job : marked) {
        const auto& dependencies = live_.at(job).dependencies;
        before.insert(before.end(), dependencies.begin(), dependencies.end());
    }
    inherit(before);
}

void DependencyGraph::remove(const std::string& id) {
    const auto at = live_.find(id);
    if (at == live_.end()) return;
    const auto dependencies = std::move(at->second.dependencies);
    live_.erase(at);
    if (dependents_.contains(id) && !outcomes_.contains(id)) open_.insert(id);
    for (const auto& dependency : dependencies) {
        const auto after = dependents_.find(dependency);
        after->second.erase(id);
        if (!after->second.empty()) continue;
        dependents_.erase(after);
        outcomes_.erase(dependency);
        open_.erase(dependency);
    }
    inherit(dependencies);
}

void DependencyGraph::clear() {
    live_.clear();
    dependents_.clear();
    open_.clear();
}

bool DependencyGraph::inherit_one(const std::string& id, Controller& node) {
    Priority priority = node.own_priority;
    auto due = node.own_deadline_ms;
    if (const auto after = dependents_.find(id); after != dependents_.end())
        for (const auto& dependent : after->second) {
            const Controller& later = live_.at(dependent);
            if (later.cancelled) continue;
            priority = std::min(priority, later.priority);
            if (!later.deadline_ms) continue;
            const auto start_by = *later.deadline_ms - later.duration_ms;
            due = due ? std::min(*due, start_by) : start_by;
        }
    if (priority == node.priority && due == node.deadline_ms) return false;
    node.priority = priority;
    node.deadline_ms = due;
    return true;
}

// First in, first out, and nobody twice in the line: the work is bounded by jobs times dependencies, where a
// stack would walk every path of a diamond.
void DependencyGraph::inherit(const std::vector<std::string>& changed) {
    std::deque<std::string> line;
    std::set<std::string> queued;
    const auto enqueue = [&](const std::vector<std::string>& jobs) {
        for (const auto& job : jobs)
            if (live_.contains(job) && queued.insert(job).second) line.push_back(job);
    };
    enqueue(changed);
    while (!line.empty()) {
        const auto id = std::move(line.front());
        line.pop_front();
        queued.erase(id);
        Controller& node = live_.at(id);
        if (inherit_one(id, node)) enqueue(node.dependencies);
    }
}

void DependencyGraph::forget_unneeded() {
    std::erase_if(outcomes_, [&](const auto& ending) { return !dependents_.contains(ending.first); });
}

bool DependencyGraph::is_ready(const std::string& id) const {
    const Controller* node = find(id);
    return node && node->pending == 0 && !node->cancelled;
}

bool DependencyGraph::is_cancelled(const std::string& id) const {
    const Controller* node = find(id);
    return node && node->cancelled;
}

std::vector<std::string> DependencyGraph::cancelled() const {
    std::vector<std::string> out;
    for (const auto& [id, node] : live_)
        if (node.cancelled) out.push_back(id);
    return out;
}

std::optional<std::int64_t> DependencyGraph::ready_since_ms(const std::string& id) const {
    const Controller* node = find(id);
    if (!node || node->dependencies.empty() || node->pending > 0) return std::nullopt;
    return node->ready_since_ms;
}

Priority DependencyGraph::priority(const JobSpec& spec) const {
    const Controller* node = find(spec.id);
    return node ? node->priority : spec.priority;
}

std::optional<std::int64_t> DependencyGraph::deadline_ms(const JobSpec& spec) const {
    const Controller* node = find(spec.id);
    return node ? node->deadline_ms : std::nullopt;
}

bool DependencyGraph::in_pipeline(const JobSpec& spec) const {
    return !spec.dependencies.empty() || (!spec.deadline_s && dependents_.contains(spec.id));
}

std::vector<std::string> DependencyGraph::unresolved() const {
    return {open_.begin(), open_.end()};
}

std::vector<std::string> DependencyGraph::unresolved_before(const std::string& id) const {
    std::set<std::string> seen, out;
    std::vector<std::string> line{id};
    while (!line.empty() && !open_.empty()) {
        const Controller* node = find(line.back());
        line.pop_back();
        if (!node) continue;
        for (const auto& dependency : node->dependencies) {
            if (!seen.insert(dependency).second) continue;
            if (open_.contains(dependency))
                out.insert(dependency);
            else
                line.push_back(dependency);
        }
    }
    return {out.begin(), out.end()};
}

}  // namespace pineroad::model
