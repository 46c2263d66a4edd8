// Exchanges messages with the other controllers: sends this controller's state and applies theirs. No message
// makes a controller the leader or renews its lease. What the responses of all peers together can prove is
// that all cancellations up to a later time are known (LeaseGuard).
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "leadership/leadership_state.hpp"
#include "leadership/lease_guard.hpp"
#include "net/http.hpp"
#include "peers/peer_directory.hpp"
#include "peers/record_format_tracker.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::peers {

// Sends peer messages, responds to them and applies their content.
class PeerExchange {
   public:
    // The objects that the exchange uses; all of them must outlive it.
    struct Dependencies {
        const store::StoreClient& store;
        store::WatchCache& watch_cache;
        leadership::LeaseGuard& lease_guard;
        leadership::LeadershipState& leadership;
        PeerDirectory& directory;
        RecordFormatTracker& record_format_tracker;
    };
    // `name` is this controller's name in the settings, `started_at` is when the process started (seconds,
    // steady clock).
    PeerExchange(std::string name, double started_at, const Dependencies& dependencies,
                 const net::ClientFactory& client_factory);

    // Handles a peer's request and returns the response.
    net::awaitable<net::Response> handle(net::Request request);
    // Sends a message to one peer every peer_message_period_s. Never returns.
    net::awaitable<void> run(std::size_t peer);
    // Tells the leader about a cancellation committed at `revision` before it is confirmed to the user.
    net::awaitable<void> forward_cancellation(std::uint64_t revision, std::string job);
    // Records that a worker's heartbeat reached this controller.
    void record_heartbeat();

   private:
    // Returns the message that describes this controller's state.
    [[nodiscard]] wire::PeerMessage own_message() const;
    // Adds the cancellations in the message to the watch cache.
    void record_cancellations(const wire::PeerMessage& message);
    // Applies a peer's response to the request that was sent at `sent_at`.
    void apply_response(std::size_t peer, double sent_at, wire::PeerMessage response);

    const std::string name_;
    const double started_at_;
    const store::StoreClient& store_;
    store::WatchCache& watch_cache_;
    leadership::LeaseGuard& lease_guard_;
    leadership::LeadershipState& leadership_;
    PeerDirectory& directory_;
    RecordFormatTracker& record_format_tracker_;
    std::vector<std::unique_ptr<net::Client>> clients_;  // in the directory's order
    double last_heartbeat_s_ = -1;
};

}  // namespace pineroad::peers
