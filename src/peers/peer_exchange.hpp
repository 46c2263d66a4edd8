// The messages that controllers send each other: what this controller says of itself, and what follows from
// what a peer says. Nothing in a message grants a right to act.
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
#include "peers/record_format.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::peers {

// Sends, answers and applies messages.
class PeerExchange {
   public:
    // What the exchange works with; all of it must outlive the exchange.
    struct Dependencies {
        const store::StoreClient& store;
        store::WatchCache& watch_cache;
        leadership::LeaseGuard& lease_guard;
        leadership::LeadershipState& leadership;
        PeerDirectory& directory;
        RecordFormat& record_format;
    };
    // `name` is this controller's name in the settings, `started_at` when the process started (seconds,
    // steady clock).
    PeerExchange(std::string name, double started_at, const Dependencies& dependencies,
                 const net::ClientFactory& connect);

    // Answers a message of a peer.
    net::awaitable<net::Reply> handle(net::Request request);
    // Sends a message to one peer every peer_message_period_s. Never returns.
    net::awaitable<void> run(std::size_t peer);
    // Names a cancellation to the leader before its user is answered: the revision that holds it, and the
    // job.
    net::awaitable<void> forward_cancellation(std::uint64_t revision, std::string job);
    // A worker's heartbeat reached this controller.
    void record_heartbeat();

   private:
    // What this controller says of itself.
    [[nodiscard]] wire::PeerMessage own_message() const;
    // Cancellations that the message names are known here from now on.
    void record_cancellations(const wire::PeerMessage& message);
    // A peer answered a message that was sent at `sent`.
    void apply_response(std::size_t peer, double sent, wire::PeerMessage answer);

    const std::string name_;
    const double started_at_;
    const store::StoreClient& store_;
    store::WatchCache& watch_cache_;
    leadership::LeaseGuard& lease_guard_;
    leadership::LeadershipState& leadership_;
    PeerDirectory& directory_;
    RecordFormat& record_format_;
    std::vector<std::unique_ptr<net::Client>> clients_;  // in the order of the directory
    double last_heartbeat_ = -1;
};

}  // namespace pineroad::peers
