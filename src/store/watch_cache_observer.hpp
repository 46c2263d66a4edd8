// Notifications from the code that keeps the watch cache current to the rest of the controller.
#pragma once

#include "wire/records.hpp"

namespace pineroad::store {

// Receives notifications about the watch cache.
class WatchCacheObserver {
   public:
    virtual ~WatchCacheObserver() = default;

    // The cache holds everything that was committed before a request sent at `sent_at` (seconds on the steady
    // clock).
    virtual void on_cache_current(double sent_at) = 0;
    // The cache was loaded and is ready for use.
    virtual void on_cache_loaded() = 0;
    // The cache can no longer be kept current and will be loaded again.
    virtual void on_cache_lost() = 0;
    // The cache holds a leader record after events were applied.
    virtual void on_leader_seen(const wire::records::Leader& leader) = 0;
    // The events of a watch response were applied. `leader_removed`: they removed the leader record.
    virtual void on_watch_applied(bool leader_removed) = 0;
    // Returns whether this controller is the leader, which needs changes sooner than the others.
    [[nodiscard]] virtual bool is_leader() const = 0;
};

}  // namespace pineroad::store
