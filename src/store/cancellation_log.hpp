// The cancellations that this process knows of, by the revision of the state service that holds them. A user
// is told of a cancellation only once it stands here, whoever committed it and whatever the answer belongs to
// (a cancel, a repeated one, a poll, a repeated submission). That makes it what a node vouches for to its
// peers: docs/safety.md, "What a peer vouches for".
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::control {

class CancellationLog {
   public:
    using Entry = std::pair<std::uint64_t, std::string>;  // revision, job

    // True if it was not known.
    bool learn(const std::string& job, std::uint64_t revision) {
        if (!entries_.emplace(revision, job).second) return false;
        while (entries_.size() > constants::cancellations_kept) {
            forgotten_ = std::max(forgotten_, entries_.begin()->first);
            entries_.erase(entries_.begin());
        }
        return true;
    }
    // Every cancellation known here above the revision. Nothing, rather than a part, when some of these were
    // forgotten or they are more than one message holds: the asker would take a part for the whole.
    [[nodiscard]] std::optional<std::vector<Entry>> above(std::uint64_t revision) const {
        if (revision < forgotten_) return std::nullopt;
        std::vector<Entry> out(entries_.lower_bound({revision + 1, ""}), entries_.end());
        if (out.size() > constants::gossip_cancels) return std::nullopt;
        return out;
    }

   private:
    std::set<Entry> entries_;
    std::uint64_t forgotten_ = 0;  // the greatest revision that was forgotten
};

}  // namespace pineroad::control
