#include "net/socket_budget.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::net {

namespace c = constants;

SocketBudget allocate_sockets(const config::Settings& settings) {
    const auto all = static_cast<std::size_t>(settings.max_sockets);
    const auto peers = std::max<std::size_t>(1, settings.peers.size());
    const auto for_users = static_cast<std::size_t>(static_cast<double>(all) * c::user_socket_share);
    // Where there are few, no use beside users and workers gets more than an eighth.
    const auto eighth = all / 8;
    SocketBudget out;
    out.users = std::max<std::size_t>(2, for_users);
    out.peer_api = std::clamp<std::size_t>(c::sockets_per_peer * peers, 1, eighth);
    out.direct_commands = std::clamp<std::size_t>(c::max_inflight_stops, 1, eighth);
    const auto to_peers = std::min(c::sockets_per_peer * peers, eighth);
    const auto to_store_and_cloud =
        std::min(2 * c::max_connections_per_endpoint + c::reserved_sockets, all / 4);
    out.public_api = all - (out.peer_api + out.direct_commands + to_peers + to_store_and_cloud);
    return out;
}

}  // namespace pineroad::net
