#include "store/linearizable_read.hpp"

#include "store/steady_time.hpp"

namespace pineroad::store {

namespace c = constants;

LinearizableRead::LinearizableRead(StoreClient& store, WatchCache& watch_cache, WatchCacheObserver& observer)
    : store_(store), watch_cache_(watch_cache), observer_(observer) {}

net::awaitable<bool> LinearizableRead::catch_up() {
    if (!watch_cache_.ready) co_return false;
    // A check that started before this call proves nothing for it: wait for the next one.
    const auto wanted = started_ + 1;
    const double deadline = steady_now_s() + c::store_timeout_s + 0.2;
    while (done_ < wanted) {
        if (running_) {
            if (steady_now_s() > deadline) co_return false;
            co_await finished_.wait(deadline - steady_now_s() + 0.01);
            continue;
        }
        if (co_await check() >= wanted) co_return succeeded_;
    }
    co_return succeeded_;
}

net::awaitable<std::uint64_t> LinearizableRead::check() {
    running_ = true;
    const double gap = last_sent_ + store_.pacing_interval_s(c::linearizable_read_share) - steady_now_s();
    if (gap > 0) co_await net::sleep_for(gap);  // others arrive meanwhile and share the check
    const auto number = ++started_;
    const double sent = last_sent_ = steady_now_s();
    const auto events = co_await store_.events_since(watch_cache_.revision);
    // While the check was under way the watch cache may have been lost.
    succeeded_ = watch_cache_.ready && events.has_value();
    if (succeeded_) {
        watch_cache_.apply(*events, steady_now_s());
        observer_.cache_current_at(sent);
        if (watch_cache_.leader) observer_.leader_seen(watch_cache_.leader->value);
    }
    done_ = number;
    running_ = false;
    finished_.notify();
    co_return number;
}

}  // namespace pineroad::store
