// Log of the cancellations that this process knows of, by store revision. A user receives a response that
// says "cancelled" only after the cancellation is recorded here, whoever committed it and whatever the
// request was (a cancellation, a repeated one, a status poll or a repeated submission). A controller
// therefore confirms the contents of this log to its peers: docs/safety.md, "What a peer confirms".
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

// Holds the latest constants::max_logged_cancellations cancellations, by revision.
class CancellationLog {
   public:
    // Store revision of a cancellation, and the id of the cancelled job.
    using Entry = std::pair<std::uint64_t, std::string>;

    // Records a cancellation, and evicts the oldest ones beyond the limit. Returns whether it was new.
    bool add(const std::string& job, std::uint64_t revision) {
        if (!entries_.emplace(revision, job).second) return false;
        while (entries_.size() > constants::max_logged_cancellations) {
            last_evicted_revision_ = std::max(last_evicted_revision_, entries_.begin()->first);
            entries_.erase(entries_.begin());
        }
        return true;
    }
    // Returns every known cancellation after the revision, in ascending order. Returns nothing if some of
    // them were evicted or if they do not fit into one message, because the caller would take a partial list
    // for a complete one.
    [[nodiscard]] std::optional<std::vector<Entry>> entries_after(std::uint64_t revision) const {
        if (revision < last_evicted_revision_) return std::nullopt;
        std::vector<Entry> entries(entries_.lower_bound({revision + 1, ""}), entries_.end());
        if (entries.size() > constants::max_cancellations_per_message) return std::nullopt;
        return entries;
    }

   private:
    std::set<Entry> entries_;
    std::uint64_t last_evicted_revision_ = 0;  // highest revision that was evicted
};

}  // namespace pineroad::store
