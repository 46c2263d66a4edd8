// What every part of the cluster state knows of its term: identity, configuration and the time of the latest
// event.
#pragma once

#include <cstdint>

#include "config/settings.hpp"
#include "config/tuning.hpp"

namespace pineroad::cluster {

// One term of one leader. Times are seconds of the process's steady clock unless said otherwise.
struct TermContext {
    const config::Settings& settings;
    const config::Tuning& tuning;
    std::uint64_t fencing_token = 0;
    std::uint64_t leader_revision = 0;  // mod revision of the leadership key
    double started_at_s = 0;
    double now_s = 0;  // of the latest event that came with a time
    std::int64_t wall_offset_ms = 0;

    // Time of day of the latest event.
    [[nodiscard]] std::int64_t wall_ms() const {
        return wall_offset_ms + static_cast<std::int64_t>(now_s * 1000);
    }
    // An event came at this time, by both clocks.
    void set_clocks(double now, std::int64_t wall_ms) {
        now_s = now;
        wall_offset_ms = wall_ms - static_cast<std::int64_t>(now * 1000);
    }
};

}  // namespace pineroad::cluster
