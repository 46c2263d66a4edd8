// Loads the watch cache from the store and keeps it current by watches.
#pragma once

#include "net/http.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "store/watch_cache_observer.hpp"

namespace pineroad::store {

// Keeps one watch cache current.
class WatchLoop {
   public:
    // All arguments must outlive the loop.
    WatchLoop(StoreClient& store, WatchCache& watch_cache, WatchCacheObserver& observer);
    // Loads the cache and then watches the store. Never returns.
    net::awaitable<void> run();

   private:
    // Loads the cache. Returns false if a request failed.
    net::awaitable<bool> load();
    // Applies all live records. Returns the revision of the first page, or nothing if a page could not be
    // read.
    net::awaitable<std::optional<std::uint64_t>> load_records();
    // Waits for one watch response, applies its events and pauses.
    net::awaitable<void> watch_once();

    StoreClient& store_;
    WatchCache& watch_cache_;
    WatchCacheObserver& observer_;
};

}  // namespace pineroad::store
