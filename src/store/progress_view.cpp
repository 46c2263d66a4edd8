#include "store/progress_view.hpp"

#include <utility>

#include "config/constants.hpp"

namespace pineroad::store {

void ProgressView::apply_segment(const std::string& name, wire::records::Segment&& segment,
                                 std::uint64_t mod_revision) {
    auto& known_segment = segments_[name];
    remove_entries_of(known_segment);
    known_segment = {segment.sequence, {}, mod_revision};
    for (auto& [entry, progress] : segment.entries) {
        known_segment.entries.push_back(entry);
        auto& current_sequence = current_sequences_[entry];  // {0, 0} if new: less than any sequence
        if (current_sequence > segment.sequence) continue;
        current_sequence = segment.sequence;
        if (progress) {
            entries_[entry] = {std::move(*progress), mod_revision, name};
        } else {  // a tombstone: none of its tasks is left on any machine
            entries_.erase(entry);
        }
    }
}

// The entries can be removed because a segment is overwritten only when none of its former entries is needed
// any more.
void ProgressView::remove_entries_of(const Segment& segment) {
    for (const auto& entry : segment.entries) {
        const auto current_sequence = current_sequences_.find(entry);
        if (current_sequence == current_sequences_.end() || current_sequence->second != segment.sequence)
            continue;
        current_sequences_.erase(current_sequence);
        entries_.erase(entry);
    }
}

void ProgressView::apply_job_record(const std::string& job, model::Progress progress,
                                    std::uint64_t mod_revision) {
    const EntryName whole_job{job, 0};
    const auto known_entry = entries_.find(whole_job);
    if (known_entry != entries_.end() && !known_entry->second.segment.empty()) return;
    entries_[whole_job] = {std::move(progress), mod_revision, ""};
}

void ProgressView::remove_job_record(const std::string& job) {
    const auto known_entry = entries_.find({job, 0});
    if (known_entry != entries_.end() && known_entry->second.segment.empty()) entries_.erase(known_entry);
}

void ProgressView::clear() {
    entries_.clear();
    segments_.clear();
    current_sequences_.clear();
}

bool ProgressView::is_current(const EntryName& entry, const model::Placement& placement) const {
    const auto shard = placement.index / constants::tasks_per_shard;
    return shard == entry.shard || !entries_.contains({entry.job, shard});
}

ProgressView::RecordedTaskCounts ProgressView::task_counts(const std::string& job) const {
    model::TaskSet done;
    RecordedTaskCounts counts;
    for (auto entry = entries_.lower_bound({job, 0}); entry != entries_.end() && entry->first.job == job;
         ++entry) {
        const auto& progress = entry->second.value;
        done += progress.done;
        for (const auto& placement : progress.placements)
            counts.placed += is_current(entry->first, placement);
    }
    counts.done = done.size();
    return counts;
}

}  // namespace pineroad::store
