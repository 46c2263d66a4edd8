#include "cluster/segment_store.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;

void SegmentStore::load(const store::WatchCache& watch_cache) {
    for (const auto& [name, segment] : watch_cache.progress.segments()) {
        segments_[name] = {segment.mod_revision, segment.sequence, segment.entries};
        for (const auto& entry : segment.entries) {
            ++reference_counts_[entry];
            auto& latest = latest_segment_[entry];
            if (latest.empty() || watch_cache.progress.segments().at(latest).sequence < segment.sequence)
                latest = name;
        }
    }
}

bool SegmentStore::is_needed_for(const EntryName& entry, const std::string& segment) const {
    if (const Job* job = std::as_const(jobs_).find(entry.job)) {
        const auto shard = job->shards.find(entry.shard);
        return shard == job->shards.end() || shard->second.segment == segment ||
               shard->second.segment.empty();
    }
    // The tombstone is needed while an older entry remains in another segment.
    const auto latest = latest_segment_.find(entry);
    return latest != latest_segment_.end() && latest->second == segment && reference_counts_.at(entry) > 1;
}

bool SegmentStore::is_reusable(const std::string& name) const {
    const auto& entries = segments_.at(name).entries;
    return std::none_of(entries.begin(), entries.end(),
                        [&](const EntryName& entry) { return is_needed_for(entry, name); });
}

// Reuses a segment that is no longer needed, so that one write also removes the old contents, and a late copy
// of a commit always meets a newer revision of its key. The number of segments is thus bounded by the peak
// use.
std::string SegmentStore::writable_segment(const std::vector<std::string>& reserved) const {
    const auto is_reserved = [&](const std::string& name) {
        return std::find(reserved.begin(), reserved.end(), name) != reserved.end();
    };
    for (const auto& [name, segment] : segments_)
        if (!is_reserved(name) && is_reusable(name)) return name;
    for (std::size_t number = segments_.size();; ++number) {
        auto name = fmt::format("{:04}", number);
        if (!segments_.contains(name) && !is_reserved(name)) return name;
    }
}

std::uint64_t SegmentStore::mod_revision(const std::string& name) const {
    const auto segment = segments_.find(name);
    return segment == segments_.end() ? 0 : segment->second.mod_revision;
}

void SegmentStore::drop_references(const Segment& segment) {
    for (const auto& entry : segment.entries) {
        if (--reference_counts_[entry] != 0) continue;
        reference_counts_.erase(entry);
        latest_segment_.erase(entry);
        pending_tombstones_.erase(entry);
    }
}

void SegmentStore::apply_commit(const WrittenSegment& written, std::uint64_t revision) {
    Segment& segment = segments_[written.name];
    drop_references(segment);
    segment = {revision, written.sequence, written.entries};
    for (const auto& entry : written.entries) {
        ++reference_counts_[entry];
        latest_segment_[entry] = written.name;
        if (Job* job = jobs_.find(entry.job)) job->shards[entry.shard].segment = written.name;
    }
}

void SegmentStore::add_tombstones(const std::string& job) {
    for (auto entry = reference_counts_.lower_bound({job, 0});
         entry != reference_counts_.end() && entry->first.job == job; ++entry)
        pending_tombstones_.insert(entry->first);
}

bool SegmentStore::has_too_many_segments() const {
    std::size_t entries = 0;
    for (const auto& [id, job] : std::as_const(jobs_).all())
        entries += std::max<std::size_t>(1, job.shards.size());
    const auto entries_per_segment =
        std::clamp(context_.settings.max_value_kb * 1024 / c::compaction_bytes_per_entry, 1.0,
                   static_cast<double>(c::min_entries_per_segment));
    return static_cast<double>(segments_.size()) >
           static_cast<double>(c::min_segments) + static_cast<double>(entries) / entries_per_segment;
}

const std::pair<const std::string, SegmentStore::Segment>* SegmentStore::oldest_needed() const {
    const std::pair<const std::string, Segment>* oldest = nullptr;
    for (const auto& entry : segments_)
        if ((!oldest || entry.second.sequence < oldest->second.sequence) && !is_reusable(entry.first))
            oldest = &entry;
    return oldest;
}

void SegmentStore::compact() {
    if (!has_too_many_segments()) return;
    const auto* oldest = oldest_needed();
    if (!oldest) return;
    for (const auto& entry : oldest->second.entries) {
        Job* job = jobs_.find(entry.job);
        if (!job) continue;
        const auto shard = job->shards.find(entry.shard);
        if (shard != job->shards.end() && shard->second.segment == oldest->first)
            jobs_.mark_changed(*job, entry.shard * c::tasks_per_shard);
    }
}

}  // namespace pineroad::cluster
