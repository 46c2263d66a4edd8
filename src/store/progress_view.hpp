// Progress of live jobs as recorded in the store: which segment holds the current entry of a job, and the
// combined contents of all entries of a job.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "wire/records.hpp"

namespace pineroad::store {

// Progress entries by job and shard. Several segments may hold an entry; the copy in the segment with the
// highest sequence is current. Iteration visits the current entries ordered by job and shard.
class ProgressView {
   public:
    // Job, and the shard of its tasks that the entry covers.
    using EntryName = wire::records::EntryName;
    // A current entry.
    struct Entry {
        model::Progress value;
        std::uint64_t mod_revision = 0;  // of the record that holds it
        std::string segment;             // name of that segment; empty: a progress record of version 0.1
    };
    // Contents of a segment record.
    struct Segment {
        wire::records::Sequence sequence;
        std::vector<EntryName> entries;
        std::uint64_t mod_revision = 0;
    };
    // Task counts of a job as recorded in the store: completed tasks, and tasks placed on a machine.
    struct RecordedTaskCounts {
        std::uint64_t done = 0, placed = 0;
    };

    // Applies a written segment record, which replaces the former contents of this segment. If two segments
    // hold an entry, the one with the higher sequence counts, whichever is applied first.
    void apply_segment(const std::string& name, wire::records::Segment&& segment, std::uint64_t mod_revision);
    // Applies a progress record of version 0.1, which wrote one record per job. It is older than any segment
    // and never replaces an entry from one.
    void apply_job_record(const std::string& job, model::Progress progress, std::uint64_t mod_revision);
    // Applies the deletion of such a record. An entry from a segment stays.
    void remove_job_record(const std::string& job);
    // Forgets everything before the store is read again.
    void clear();

    // Returns whether this placement of the entry is current. An entry of a whole job does not count for
    // tasks whose shard has an entry of its own, because that one was written later.
    [[nodiscard]] bool is_current(const EntryName& entry, const model::Placement& placement) const;
    // Returns the sums over all entries of a job, or zeros if it has none.
    [[nodiscard]] RecordedTaskCounts task_counts(const std::string& job) const;
    // Returns every segment that was read, by name, even if none of its entries is current any more.
    [[nodiscard]] const std::map<std::string, Segment>& segments() const { return segments_; }
    // Returns an iterator to the first current entry, a pair of EntryName and Entry.
    [[nodiscard]] auto begin() const { return entries_.begin(); }
    // Returns the end of the current entries.
    [[nodiscard]] auto end() const { return entries_.end(); }

   private:
    // Removes the entries whose current copy is in this segment.
    void remove_entries_of(const Segment& segment);

    std::map<EntryName, Entry> entries_;
    std::map<std::string, Segment> segments_;
    // For each entry, the sequence of the segment that holds its current copy or its tombstone.
    std::map<EntryName, wire::records::Sequence> current_sequences_;
};

}  // namespace pineroad::store
