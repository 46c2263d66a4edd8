// The cancellations that this process knows of, by the revision of the store that holds them. A user gets an
// answer that says "cancelled" only once the cancellation is recorded here, whoever committed it and whatever
// the answer belongs to (a cancel, a repeated one, a poll, a repeated submission). That makes this log what a
// controller confirms to its peers: docs/safety.md, "What a peer confirms".
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::store {

// The latest constants::max_cancellations_kept cancellations, by revision.
class CancellationLog {
   public:
    // A revision of the store, and the id of the job that was cancelled at it.
    using Entry = std::pair<std::uint64_t, std::string>;

    // Records a cancellation, and forgets the oldest where there are too many. True if it was not known.
    bool add(const std::string& job, std::uint64_t revision) {
        if (!entries_.emplace(revision, job).second) return false;
        while (entries_.size() > constants::max_cancellations_kept) {
            last_evicted_revision_ = std::max(last_evicted_revision_, entries_.begin()->first);
            entries_.erase(entries_.begin());
        }
        return true;
    }
    // Every cancellation known here after the revision, in ascending order. Nothing, rather than a part of
    // them, when some were forgotten or they are more than one message holds: the asker would take a part for
    // all.
    [[nodiscard]] std::optional<std::vector<Entry>> entries_after(std::uint64_t revision) const {
        if (revision < last_evicted_revision_) return std::nullopt;
        std::vector<Entry> entries(entries_.lower_bound({revision + 1, ""}), entries_.end());
        if (entries.size() > constants::max_cancellations_per_message) return std::nullopt;
        return entries;
    }

   private:
    std::set<Entry> entries_;
    std::uint64_t last_evicted_revision_ = 0;  // the greatest revision that was forgotten
};

}  // namespace pineroad::store
