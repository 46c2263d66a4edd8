#include "net/socket_budget.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::net {

namespace c = constants;

SocketBudget allocate_sockets(const config::Settings& settings) {
    const auto total_sockets = static_cast<std::size_t>(settings.max_sockets);
    const auto peers = std::max<std::size_t>(1, settings.peers.size());
    const auto user_sockets =
        static_cast<std::size_t>(static_cast<double>(total_sockets) * c::user_socket_share);
    // With few sockets, requests from peers, requests to peers and direct commands get at most an eighth
    // each, and the store and the cloud at most a quarter together, so that users and workers keep most.
    const auto eighth = total_sockets / 8;
    SocketBudget out;
    out.users = std::max<std::size_t>(2, user_sockets);
    out.peer_api = std::clamp<std::size_t>(c::sockets_per_peer * peers, 1, eighth);
    out.direct_commands = std::clamp<std::size_t>(c::max_direct_commands_in_flight, 1, eighth);
    const auto to_peers = std::min(c::sockets_per_peer * peers, eighth);
    const auto to_store_and_cloud =
        std::min(2 * c::max_connections_per_endpoint + c::reserved_sockets, total_sockets / 4);
    out.public_api = total_sockets - (out.peer_api + out.direct_commands + to_peers + to_store_and_cloud);
    return out;
}

}  // namespace pineroad::net
