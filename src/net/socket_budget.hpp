// How the sockets that the platform allows are shared out, so that no use of them can starve another.
// Machines come first: each of them reports to the leader over a connection of its own.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/constants.hpp"
#include "config/settings.hpp"

namespace pineroad::net {

struct SocketShares {
    std::size_t front = 0;  // users and workers together
    std::size_t users = 0;  // at most so many of them
    std::size_t mesh = 0;   // from other controllers
    std::size_t stops = 0;  // stops under way to workers
    [[nodiscard]] std::size_t workers() const { return front - users; }
};

inline SocketShares share_sockets(const config::Settings& s) {
    namespace c = constants;
    const auto all = static_cast<std::size_t>(s.max_sockets);
    const auto peers = std::max<std::size_t>(1, s.peers.size());
    SocketShares out;
    out.users = std::max<std::size_t>(2, static_cast<std::size_t>(static_cast<double>(all) * c::user_share));
    // Where there are few, nobody gets more than an eighth beside users and workers.
    out.mesh = std::clamp<std::size_t>(c::sockets_per_peer * peers, 1, all / 8);
    out.stops = std::clamp<std::size_t>(c::stops_under_way, 1, all / 8);
    const auto other = out.mesh + out.stops + std::min(c::sockets_per_peer * peers, all / 8) +
                       std::min(2 * c::client_connections + c::spare_sockets, all / 4);
    out.front = all - other;
    return out;
}

}  // namespace pineroad::net
