// Tracks which controllers read the current record format. Records are written in it only once all of them
// do.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "config/settings.hpp"
#include "peers/peer_directory.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::peers {

// Determines the readers of the current record format.
class RecordFormatTracker {
   public:
    // `own_format` is the latest format that this process reads; `started_at` is when the process started
    // (seconds, steady clock). The other arguments must outlive this object.
    RecordFormatTracker(const config::Settings& settings, const store::WatchCache& watch_cache,
                        const PeerDirectory& directory, std::uint64_t own_format, double started_at);

    // Returns the latest format that this process reads.
    [[nodiscard]] std::uint64_t own_format() const { return own_format_; }
    // Returns whether this process reads the current format.
    [[nodiscard]] bool reads_current_format() const;
    // Returns whether this process reads the current format and every controller in the settings, including
    // this one, is recorded as a reader of it.
    [[nodiscard]] bool all_controllers_read_format() const;
    // Returns the controllers known to read the current format: those recorded in the store and those found
    // since.
    [[nodiscard]] std::set<std::string> readers() const;

    // Records that a user requested a job with dependencies from this controller or a peer.
    void record_dependency_request() { dependencies_requested_ = true; }
    // Returns whether any user has requested a job with dependencies.
    [[nodiscard]] bool dependencies_requested() const { return dependencies_requested_; }

   private:
    const config::Settings& settings_;
    const store::WatchCache& watch_cache_;
    const PeerDirectory& directory_;
    const std::uint64_t own_format_;
    const double started_at_;
    bool dependencies_requested_ = false;
};

}  // namespace pineroad::peers
