// Divides the sockets that the platform allows among their uses, so that no use can starve another. Workers
// get the largest part, because each machine sends its heartbeats to the leader over its own connection.
#pragma once

#include <cstddef>

#include "config/settings.hpp"

namespace pineroad::net {

// Maximum number of connections for each use.
struct SocketBudget {
    std::size_t public_api = 0;       // from users and workers
    std::size_t users = 0;            // from users; part of public_api
    std::size_t peer_api = 0;         // from other controllers
    std::size_t direct_commands = 0;  // to workers
    // Returns the number of public API connections left for workers.
    [[nodiscard]] std::size_t workers() const { return public_api - users; }
};

// Computes the budget from the numbers of sockets and peers in the settings. The sockets not listed in the
// result are reserved for requests to peers, the store and the cloud.
SocketBudget allocate_sockets(const config::Settings& settings);

}  // namespace pineroad::net
