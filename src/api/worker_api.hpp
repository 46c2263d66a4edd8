// The worker API: heartbeats, which only the leader handles. A response may be held briefly until there is
// work for the machine.
#pragma once

#include <memory>
#include <string>

#include "api/event_loop_lag.hpp"
#include "cluster/leader_term.hpp"
#include "leadership/leadership_state.hpp"
#include "model/model.hpp"
#include "net/http.hpp"
#include "peers/peer_exchange.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// Handles heartbeats.
class WorkerApi {
   public:
    // References that the API uses. All of them must outlive the object.
    struct Dependencies {
        net::asio::any_io_executor executor;
        const store::WatchCache& watch_cache;
        leadership::LeadershipState& leadership;
        const std::shared_ptr<cluster::LeaderTerm>& active_term;  // nullptr if this controller does not lead
        const EventLoopLagMonitor& event_loop_lag;
        peers::PeerExchange& peers;
    };
    // `name` is this controller's name in the settings.
    WorkerApi(std::string name, const Dependencies& dependencies);

    // Applies the heartbeat in the request body and returns commands. A controller that does not lead returns
    // 421 with the leader's name.
    net::awaitable<net::Response> heartbeat(std::string body);

   private:
    // Returns 421 with the leader's name, if it is known.
    [[nodiscard]] net::Response redirect() const;

    const std::string name_;
    const Dependencies dependencies_;
};

}  // namespace pineroad::api
