// Notifications from the code that keeps the watch cache current to the rest of the controller.
#pragma once

#include "wire/records.hpp"

namespace pineroad::store {

// Receives notifications about the watch cache.
class WatchCacheObserver {
   public:
    virtual ~WatchCacheObserver() = default;

    // Called when the cache holds everything that was committed before a request sent at `sent_at` (seconds
    // on the steady clock).
    virtual void on_cache_current(double sent_at) = 0;
    // Called when the cache was loaded and is ready for use.
    virtual void on_cache_loaded() = 0;
    // Called when the cache can no longer be kept current and will be loaded again.
    virtual void on_cache_lost() = 0;
    // Called after events were applied, if the cache then holds a leader record.
    virtual void on_leader_seen(const wire::records::Leader& leader) = 0;
    // Called after the events of a watch response were applied. `leader_removed`: they removed the leader
    // record.
    virtual void on_watch_applied(bool leader_removed) = 0;
    // Returns whether this controller is the leader, which needs changes sooner than the others.
    [[nodiscard]] virtual bool is_leader() const = 0;
};

}  // namespace pineroad::store
