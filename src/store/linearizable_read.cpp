#include "store/linearizable_read.hpp"

#include "store/steady_time.hpp"

namespace pineroad::store {

namespace c = constants;

namespace {
constexpr double check_margin_s = 0.2;  // a check may take this much longer than its request
constexpr double wait_margin_s = 0.01;  // added to each wait, so that it need not be repeated
}  // namespace

LinearizableRead::LinearizableRead(StoreClient& store, WatchCache& watch_cache, WatchCacheObserver& observer)
    : store_(store), watch_cache_(watch_cache), observer_(observer) {}

net::awaitable<bool> LinearizableRead::catch_up() {
    if (!watch_cache_.ready) co_return false;
    // A check that started before this call may miss later commits, so wait for the next one.
    const auto required_check = checks_started_ + 1;
    const double deadline = steady_now_s() + c::store_timeout_s + check_margin_s;
    while (checks_done_ < required_check) {
        if (check_running_) {
            if (steady_now_s() > deadline) co_return false;
            co_await check_finished_.wait(deadline - steady_now_s() + wait_margin_s);
            continue;
        }
        if (co_await run_check() >= required_check) co_return last_check_succeeded_;
    }
    co_return last_check_succeeded_;
}

net::awaitable<std::uint64_t> LinearizableRead::run_check() {
    check_running_ = true;
    const double delay_s =
        last_check_sent_s_ + store_.pacing_interval_s(c::linearizable_read_share) - steady_now_s();
    if (delay_s > 0) co_await net::sleep_for(delay_s);  // callers that arrive during the wait share the check
    const auto check_number = ++checks_started_;
    const double sent_at = last_check_sent_s_ = steady_now_s();
    const auto events = co_await store_.events_since(watch_cache_.revision);
    // The watch cache may have been invalidated during the check.
    last_check_succeeded_ = watch_cache_.ready && events.has_value();
    if (last_check_succeeded_) {
        watch_cache_.apply(*events, steady_now_s());
        observer_.on_cache_current(sent_at);
        if (watch_cache_.leader) observer_.on_leader_seen(watch_cache_.leader->value);
    }
    checks_done_ = check_number;
    check_running_ = false;
    check_finished_.notify();
    co_return check_number;
}

}  // namespace pineroad::store
