#include "store/progress_view.hpp"

#include <utility>

#include "config/constants.hpp"

namespace pineroad::store {

void ProgressView::apply_segment(const std::string& name, wire::records::Segment&& segment,
                                 std::uint64_t mod_revision) {
    auto& known = segments_[name];
    forget_entries_of(known);
    known = {segment.sequence, {}, mod_revision};
    for (auto& [entry, progress] : segment.entries) {
        known.entries.push_back(entry);
        auto& latest = latest_[entry];  // a new entry's {0, 0} is less than any sequence
        if (latest > segment.sequence) continue;
        latest = segment.sequence;
        if (progress) {
            entries_[entry] = {std::move(*progress), mod_revision, name};
        } else {  // a tombstone: no task of it is left anywhere
            entries_.erase(entry);
        }
    }
}

// An overwritten segment is written only once none of its former entries is needed any more.
void ProgressView::forget_entries_of(const Segment& segment) {
    for (const auto& entry : segment.entries) {
        const auto latest = latest_.find(entry);
        if (latest == latest_.end() || latest->second != segment.sequence) continue;
        latest_.erase(latest);
        entries_.erase(entry);
    }
}

void ProgressView::apply_job_record(const std::string& job, model::Progress progress,
                                    std::uint64_t mod_revision) {
    const EntryName whole_job{job, 0};
    const auto known = entries_.find(whole_job);
    if (known != entries_.end() && !known->second.segment.empty()) return;
    entries_[whole_job] = {std::move(progress), mod_revision, ""};
}

void ProgressView::remove_job_record(const std::string& job) {
    const auto known = entries_.find({job, 0});
    if (known != entries_.end() && known->second.segment.empty()) entries_.erase(known);
}

void ProgressView::clear() {
    entries_.clear();
    segments_.clear();
    latest_.clear();
}

bool ProgressView::is_current(const EntryName& entry, const model::Placement& placement) const {
    const auto shard = placement.index / constants::tasks_per_shard;
    return shard == entry.shard || !entries_.contains({entry.job, shard});
}

ProgressView::TaskCounts ProgressView::task_counts(const std::string& job) const {
    model::TaskSet done;
    TaskCounts counts;
    for (auto at = entries_.lower_bound({job, 0}); at != entries_.end() && at->first.job == job; ++at) {
        const auto& progress = at->second.value;
        done += progress.done;
        for (const auto& placement : progress.placements) counts.placed += is_current(at->first, placement);
    }
    counts.done = done.size();
    return counts;
}

}  // namespace pineroad::store
