// The segments of the store: which entries each holds, which are still needed, and which is written next.
//
// Of a job's entry in several segments, the one in the segment with the greatest sequence counts. A segment
// is needed while it holds the latest entry of a job that goes on, or a tombstone that supersedes an older
// entry of a job that is over. What nobody needs is written over, never removed.
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

// Owns what is known of the segments and of the tombstones that are still to be written.
class SegmentStore {
   public:
    using EntryName = wire::records::EntryName;

    // Both arguments must outlive the store.
    SegmentStore(const TermContext& context, JobTable& jobs) : context_(context), jobs_(jobs) {}

    // Takes over the segments of earlier terms.
    void load(const store::WatchCache& watch_cache);

    // The name of a segment to be written: one that is not needed any more, or a new one; none of `reserved`.
    [[nodiscard]] std::string writable_segment(const std::vector<std::string>& reserved) const;
    // Revision of the segment that a write replaces; 0: there is none.
    [[nodiscard]] std::uint64_t mod_revision(const std::string& name) const;
    // The sequence of the next segment: greater than all before.
    [[nodiscard]] wire::records::Sequence next_sequence() {
        return {context_.fencing_token, ++segments_written_};
    }
    // Entries of jobs that are over and still stand in a segment: a tombstone is to be written for each.
    [[nodiscard]] const std::set<EntryName>& pending_tombstones() const { return pending_tombstones_; }

    // The segment was written at this revision.
    void apply_commit(const WrittenSegment& written, std::uint64_t revision);
    // A tombstone for the entry was written.
    void mark_tombstone_written(const EntryName& entry) { pending_tombstones_.erase(entry); }
    // The job is over and none of its tasks is left: its entries are to get tombstones.
    void add_tombstones(const std::string& job);
    // Has the entries of the oldest segment written anew when there are too many segments. Long jobs would
    // otherwise hold on to sparse segments for ever.
    void compact();

   private:
    // A segment as the store holds it.
    struct Segment {
        std::uint64_t mod_revision = 0;
        wire::records::Sequence sequence;
        std::vector<EntryName> entries;
    };
    // Whether nobody needs the segment.
    [[nodiscard]] bool is_reusable(const std::string& name) const;
    // Whether the segment is needed for the sake of this entry of its own.
    [[nodiscard]] bool is_needed_for(const EntryName& entry, const std::string& segment) const;
    // Whether there are too many segments for the entries that jobs have.
    [[nodiscard]] bool has_too_many_segments() const;
    // The used segment with the smallest sequence, or nullptr.
    [[nodiscard]] const std::pair<const std::string, Segment>* oldest_needed() const;
    // The segment does not hold its entries any more.
    void drop_references(const Segment& segment);

    const TermContext& context_;
    JobTable& jobs_;
    std::map<std::string, Segment> segments_;
    std::map<EntryName, int> reference_counts_;        // number of segments that hold an entry
    std::map<EntryName, std::string> latest_segment_;  // the latest of them
    std::set<EntryName> pending_tombstones_;
    std::uint64_t segments_written_ = 0;  // segments of this term
};

}  // namespace pineroad::cluster
