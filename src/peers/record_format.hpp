// Which controllers read the present record format: it is written only once all of them do.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "config/settings.hpp"
#include "peers/peer_directory.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::peers {

// Knows the readers of the present record format.
class RecordFormat {
   public:
    // `own_format` is the latest that this process reads; `started_at` when it started (seconds, steady
    // clock). The others must outlive the object.
    RecordFormat(const config::Settings& settings, const store::WatchCache& watch_cache,
                 const PeerDirectory& directory, std::uint64_t own_format, double started_at);

    // The latest format that this process reads.
    [[nodiscard]] std::uint64_t own_format() const { return own_format_; }
    // Whether this process reads the present format.
    [[nodiscard]] bool reads_current_format() const;
    // Whether every controller of the settings is recorded as a reader of the present format.
    [[nodiscard]] bool all_controllers_read_format() const;
    // The controllers that are known to read it: those recorded in the store, and those known besides.
    [[nodiscard]] std::set<std::string> readers() const;

    // A user asked for a job with dependencies, here or at a peer.
    void record_dependency_request() { dependencies_requested_ = true; }
    // Whether any user did.
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
