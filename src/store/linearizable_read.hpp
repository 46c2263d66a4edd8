// Linearizable reads of the watch cache, like the read index of Raft: one check with the store serves every
// caller that arrived before the check was sent.
#pragma once

#include <cstdint>

#include "net/http.hpp"
#include "net/notification.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "store/watch_cache_observer.hpp"

namespace pineroad::store {

// Checks that the watch cache is current. Concurrent callers share a check.
class LinearizableRead {
   public:
    // All arguments must outlive this object.
    LinearizableRead(StoreClient& store, WatchCache& watch_cache, WatchCacheObserver& observer);
    // Returns true once everything that was committed before the call is in the watch cache, and false if the
    // store did not confirm this in time. Checks are limited to linearizable_read_share of the store's
    // request rate.
    net::awaitable<bool> catch_up();

   private:
    // Waits until the rate limit allows a check, then applies all newer events of the store to the cache.
    // Returns the number of this check.
    net::awaitable<std::uint64_t> run_check();

    StoreClient& store_;
    WatchCache& watch_cache_;
    WatchCacheObserver& observer_;
    bool check_running_ = false;
    std::uint64_t checks_started_ = 0, checks_done_ = 0;
    bool last_check_succeeded_ = false;
    double last_check_sent_s_ = -1;
    net::Notification check_finished_;
};

}  // namespace pineroad::store
