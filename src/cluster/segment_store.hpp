// Segments in the store: which entries each of them holds, which are still needed, and which is written next.
//
// If several segments hold the same entry, the one in the segment with the greatest sequence applies. A
// segment is needed while it holds the latest entry of an unfinished job, or a tombstone that supersedes an
// older entry of a finished job. A segment that is no longer needed is overwritten, never deleted.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/job_table.hpp"
#include "cluster/term_context.hpp"
#include "cluster/write_batch.hpp"
#include "store/watch_cache.hpp"
#include "wire/records.hpp"

namespace pineroad::cluster {

// Owns the known state of the segments and the tombstones that are still to be written.
class SegmentStore {
   public:
    using EntryName = wire::records::EntryName;

    // Both arguments must outlive the store.
    SegmentStore(const TermContext& context, JobTable& jobs) : context_(context), jobs_(jobs) {}

    // Loads the segments of earlier terms.
    void load(const store::WatchCache& watch_cache);

    // Returns the name of the segment to write next: one that is no longer needed, or a new one, but none of
    // `reserved`.
    [[nodiscard]] std::string writable_segment(const std::vector<std::string>& reserved) const;
    // Returns the revision of the segment that a write replaces; 0: there is none.
    [[nodiscard]] std::uint64_t mod_revision(const std::string& name) const;
    // Returns the sequence of the next segment, which is greater than all earlier ones.
    [[nodiscard]] wire::records::Sequence next_sequence() {
        return {context_.fencing_token, ++segments_written_};
    }
    // Returns the entries that segments still hold for finished jobs; each needs a tombstone.
    [[nodiscard]] const std::set<EntryName>& pending_tombstones() const { return pending_tombstones_; }

    // Applies a write of the segment at this revision.
    void apply_commit(const WrittenSegment& written, std::uint64_t revision);
    // Records that a tombstone for the entry was written.
    void mark_tombstone_written(const EntryName& entry) { pending_tombstones_.erase(entry); }
    // Requests tombstones for the entries of a finished job that has no tasks left.
    void add_tombstones(const std::string& job);
    // Schedules the entries of the oldest segment to be written again if there are too many segments.
    // Otherwise long jobs would keep sparse segments in use forever.
    void compact();

   private:
    // A segment as stored.
    struct Segment {
        std::uint64_t mod_revision = 0;
        wire::records::Sequence sequence;
        std::vector<EntryName> entries;
    };
    // Returns whether none of the entries of the segment is needed.
    [[nodiscard]] bool is_reusable(const std::string& name) const;
    // Returns whether the segment is needed because of this entry, which it holds.
    [[nodiscard]] bool is_needed_for(const EntryName& entry, const std::string& segment) const;
    // Returns whether there are too many segments for the number of entries of all jobs.
    [[nodiscard]] bool has_too_many_segments() const;
    // Returns the needed segment with the smallest sequence, or nullptr.
    [[nodiscard]] const std::pair<const std::string, Segment>* oldest_needed() const;
    // Removes the references of the segment to its entries.
    void drop_references(const Segment& segment);

    const TermContext& context_;
    JobTable& jobs_;
    std::map<std::string, Segment> segments_;
    std::map<EntryName, int> reference_counts_;        // number of segments that hold an entry
    std::map<EntryName, std::string> latest_segment_;  // name of the latest of them
    std::set<EntryName> pending_tombstones_;
    std::uint64_t segments_written_ = 0;  // in this term
};

}  // namespace pineroad::cluster
