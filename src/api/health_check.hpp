// The health check of the load balancer.
#pragma once

#include "net/http.hpp"
#include "peers/peer_directory.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// Tells the balancer whether to send users to this controller.
class HealthCheck {
   public:
    // All of these must outlive the object.
    HealthCheck(const store::StoreClient& store, const store::WatchCache& watch_cache,
                const peers::PeerDirectory& directory);
    // Returns 200 if this controller can serve users or no other controller could serve them better, 503
    // otherwise.
    [[nodiscard]] net::Response check() const;

   private:
    const store::StoreClient& store_;
    const store::WatchCache& watch_cache_;
    const peers::PeerDirectory& directory_;
};

}  // namespace pineroad::api
