#include "api/health_check.hpp"

#include "wire/protocol.hpp"

namespace pineroad::api {

HealthCheck::HealthCheck(const store::StoreClient& store, const store::WatchCache& watch_cache,
                         const peers::PeerDirectory& directory)
    : store_(store), watch_cache_(watch_cache), directory_(directory) {}

net::Response HealthCheck::check() const {
    const bool ready = watch_cache_.ready && watch_cache_.machine_types;
    // During an outage of the store for all controllers, no other controller could serve users better.
    if (ready && (store_.recently_served() || directory_.store_down_for_all(store_.outage())))
        return {200, "{}"};
    return {503, wire::error_response("not ready"), 1};
}

}  // namespace pineroad::api
