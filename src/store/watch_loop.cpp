#include "store/watch_loop.hpp"

#include <spdlog/spdlog.h>

#include "store/steady_time.hpp"

namespace pineroad::store {

namespace c = constants;
namespace records = wire::records;
using net::sleep_for;

WatchLoop::WatchLoop(StoreClient& store, WatchCache& watch_cache, WatchCacheObserver& observer)
    : store_(store), watch_cache_(watch_cache), observer_(observer) {}

net::awaitable<void> WatchLoop::run() {
    for (;;) {
        if (!watch_cache_.ready) {
            // The co_await is not part of the condition: GCC 12 lays out the coroutine frame incorrectly if a
            // condition with a co_await guards a virtual call.
            const bool loaded = co_await load();
            if (!loaded) {
                co_await sleep_for(c::store_retry_s);
                continue;
            }
            observer_.on_cache_loaded();
        }
        co_await watch_once();
    }
}

net::awaitable<std::optional<std::uint64_t>> WatchLoop::load_records() {
    std::string after;
    std::uint64_t first_revision = 0;
    for (bool more = true; more;) {
        const auto response = co_await store_.request(
            "GET", wire::row_list_target(records::live_prefix, after, c::list_page_size), {},
            3 * c::store_timeout_s);
        if (!response || response->status != 200) co_return std::nullopt;
        const auto page = wire::parse_rows(response->body);
        if (!page) co_return std::nullopt;
        if (first_revision == 0) first_revision = page->revision;
        for (const auto& row : page->rows)
            watch_cache_.apply_put(row.key, row.value, row.mod_revision, steady_now_s());
        more = page->has_more && !page->rows.empty();
        if (more) after = page->rows.back().key;
    }
    co_return first_revision;
}

net::awaitable<bool> WatchLoop::load() {
    watch_cache_.clear();
    const auto first_revision = co_await load_records();
    if (!first_revision) co_return false;
    // Records may change while the pages are read, so the events since the revision of the first page are
    // applied.
    watch_cache_.revision = *first_revision;
    const double sent_at = steady_now_s();
    const auto events = co_await store_.events_since(*first_revision);
    if (!events) co_return false;
    watch_cache_.apply(*events, steady_now_s());
    watch_cache_.mark_ready();
    observer_.on_cache_current(sent_at);
    spdlog::info("watch cache ready: {} jobs at revision {}", watch_cache_.jobs.size(),
                 watch_cache_.revision);
    co_return true;
}

net::awaitable<void> WatchLoop::watch_once() {
    const double sent_at = steady_now_s();
    const auto target = wire::watch_target(records::all_prefix, watch_cache_.revision,
                                           static_cast<int>(c::watch_block_s * 1000));
    const auto response = co_await store_.request("GET", target, {}, c::watch_block_s + c::store_timeout_s);
    // After a long disconnection a watch may return more events than fit into memory; loading again takes far
    // less.
    if (response && (response->status == 410 || response->too_large)) {
        spdlog::info("watch too old, the watch cache is loaded anew");
        watch_cache_.ready = false;
        observer_.on_cache_lost();
        co_return;
    }
    const auto events =
        response && response->status == 200 ? wire::parse_watch_events(response->body) : std::nullopt;
    if (!events) {
        co_await sleep_for(c::store_retry_s);
        co_return;
    }
    const bool had_leader = watch_cache_.leader.has_value();
    watch_cache_.apply(*events, steady_now_s());
    observer_.on_cache_current(sent_at);
    if (watch_cache_.leader) observer_.on_leader_seen(watch_cache_.leader->value);
    observer_.on_watch_applied(had_leader && !watch_cache_.leader);
    // Changes come in bursts, and a short pause batches many of them into one response. The leader pauses
    // less because it needs them sooner.
    co_await sleep_for(observer_.is_leader() ? c::leader_watch_interval_s
                                             : store_.pacing_interval_s(c::watch_share));
}

}  // namespace pineroad::store
