// The progress of live jobs as the store's records hold it: which segment holds the current entry of a job,
// and what the entries of one job say together.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "wire/records.hpp"

namespace pineroad::store {

// Progress entries by job and shard. An entry may stand in several segments; the one with the greatest
// sequence is current. Iterates over the current entries in the order of job and shard.
class ProgressView {
   public:
    // A job, and the shard of its tasks that the entry speaks of.
    using EntryName = wire::records::EntryName;
    // A current entry.
    struct Entry {
        model::Progress value;
        std::uint64_t mod_revision = 0;  // of the record it was read from
        std::string segment;  // name of that segment; empty: a record of the job's own (version 0.1)
    };
    // What a segment record was found to hold.
    struct Segment {
        wire::records::Sequence sequence;
        std::vector<EntryName> entries;
        std::uint64_t mod_revision = 0;
    };
    // Number of a job's tasks that are done, and that are placed on a machine.
    struct TaskCounts {
        std::uint64_t done = 0, placed = 0;
    };

    // A segment record was written. It replaces what this segment held before; of two segments that hold an
    // entry the one with the greater sequence counts, whichever is applied first.
    void apply_segment(const std::string& name, wire::records::Segment&& segment, std::uint64_t mod_revision);
    // A progress record of version 0.1, one per job. It is older than any segment and never replaces an entry
    // that came from one.
    void apply_job_record(const std::string& job, model::Progress progress, std::uint64_t mod_revision);
    // Such a record was deleted. An entry that came from a segment stays.
    void remove_job_record(const std::string& job);
    // Forgets everything: the store is about to be read anew.
    void clear();

    // Whether the placement, which is part of that entry, counts. An entry of a whole job counts only for
    // tasks whose shard has no entry of its own, since that one was written later.
    [[nodiscard]] bool is_current(const EntryName& entry, const model::Placement& placement) const;
    // Sums up all entries of a job; zeros for a job without one.
    [[nodiscard]] TaskCounts task_counts(const std::string& job) const;
    // Every segment that was read, by name, whether or not one of its entries is still current.
    [[nodiscard]] const std::map<std::string, Segment>& segments() const { return segments_; }
    // The first current entry, as a pair of EntryName and Entry.
    [[nodiscard]] auto begin() const { return entries_.begin(); }
    // The end of the current entries.
    [[nodiscard]] auto end() const { return entries_.end(); }

   private:
    // Drops the entries that are current in that segment.
    void remove_entries_of(const Segment& segment);

    std::map<EntryName, Entry> entries_;
    std::map<std::string, Segment> segments_;
    std::map<EntryName, wire::records::Sequence>
        current_sequences_;  // sequence of the segment that is current for an entry
};

}  // namespace pineroad::store
