// The context of a term that all parts of the cluster state share: identity, configuration and the time of
// the latest event.
#pragma once

#include <cstdint>

#include "config/settings.hpp"
#include "config/tuning.hpp"

namespace pineroad::cluster {

// The context of one leader's term. Times are seconds on the process's steady clock unless stated otherwise.
struct TermContext {
    const config::Settings& settings;
    const config::Tuning& tuning;
    std::uint64_t fencing_token = 0;
    std::uint64_t leader_revision = 0;  // mod revision of the leader record
    double started_at_s = 0;
    double now_s = 0;  // time of the latest event that carried one
    std::int64_t wall_offset_ms = 0;

    // Returns the time of day of the latest event, in milliseconds.
    [[nodiscard]] std::int64_t wall_ms() const {
        return wall_offset_ms + static_cast<std::int64_t>(now_s * 1000);
    }
    // Sets the time of the latest event on both clocks.
    void set_clocks(double now, std::int64_t wall_ms) {
        now_s = now;
        wall_offset_ms = wall_ms - static_cast<std::int64_t>(now * 1000);
    }
};

}  // namespace pineroad::cluster
