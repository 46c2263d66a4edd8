// The workers' API: heartbeats, which only the leader answers. A response may be held back for a moment until
// there is work for the machine.
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

// Answers heartbeats.
class WorkerApi {
   public:
    // What the API works with; all of it must outlive the object.
    struct Dependencies {
        net::asio::any_io_executor executor;
        const store::WatchCache& watch_cache;
        leadership::LeadershipState& leadership;
        const std::shared_ptr<cluster::LeaderTerm>& active_term;  // null: this controller does not lead
        const EventLoopLagMonitor& event_loop_lag;
        peers::PeerExchange& peers;
    };
    // `name` is this controller's name in the settings.
    WorkerApi(std::string name, const Dependencies& dependencies);

    // Applies the heartbeat in the body of the request and answers with commands; 421 names the leader.
    net::awaitable<net::Reply> heartbeat(std::string body);

   private:
    // 421 with the leader's name, if it is known.
    [[nodiscard]] net::Reply redirect() const;

    const std::string name_;
    const Dependencies dependencies_;
};

}  // namespace pineroad::api
