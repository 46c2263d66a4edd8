// Linearizable reads of the watch cache (a read index, as in Raft): one check with the store serves every
// caller that came before it was sent.
#pragma once

#include <cstdint>

#include "net/http.hpp"
#include "net/notification.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "store/watch_cache_observer.hpp"

namespace pineroad::store {

// Checks, shared by its callers, that the watch cache is current.
class LinearizableRead {
   public:
    // All of these must outlive the object.
    LinearizableRead(StoreClient& store, WatchCache& watch_cache, WatchCacheObserver& observer);
    // True once everything committed before the call is in the watch cache; false when the store did not
    // confirm it in time. Checks are paced to linearizable_read_share.
    net::awaitable<bool> catch_up();

   private:
    // Waits for its turn, then brings the cache up to the store. The number of this check.
    net::awaitable<std::uint64_t> run_check();

    StoreClient& store_;
    WatchCache& watch_cache_;
    WatchCacheObserver& observer_;
    bool check_running_ = false;
    std::uint64_t checks_started_ = 0, checks_done_ = 0;  // checks
    bool last_check_succeeded_ = false;                   // the last one that is done
    double last_check_sent_s_ = -1;
    net::Notification check_finished_;
};

}  // namespace pineroad::store
