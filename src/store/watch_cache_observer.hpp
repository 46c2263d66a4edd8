// What the loops that keep the watch cache current report to the rest of the controller.
#pragma once

#include "wire/records.hpp"

namespace pineroad::store {

// Receives the reports.
class WatchCacheObserver {
   public:
    virtual ~WatchCacheObserver() = default;

    // Everything committed before a request that was sent then (seconds, steady clock) is in the cache.
    virtual void on_cache_current(double sent) = 0;
    // The cache was loaded and is ready for use.
    virtual void on_cache_loaded() = 0;
    // The cache can't be kept current any more and is loaded anew.
    virtual void on_cache_lost() = 0;
    // The leader's record stands in the cache after events were applied.
    virtual void on_leader_seen(const wire::records::Leader& leader) = 0;
    // A watch was answered and its events were applied; with them the leader's record may have been removed.
    virtual void on_watch_applied(bool leader_removed) = 0;
    // Whether this controller holds a term, and so needs changes sooner.
    [[nodiscard]] virtual bool is_leader() const = 0;
};

}  // namespace pineroad::store
