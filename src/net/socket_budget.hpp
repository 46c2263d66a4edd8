// How the sockets that the platform allows are shared out, so that no use of them can starve another.
// Machines come first: each of them reports to the leader over a connection of its own.
#pragma once

#include <cstddef>

#include "config/settings.hpp"

namespace pineroad::net {

// Most connections of each use.
struct SocketBudget {
    std::size_t public_api = 0;       // from users and workers together
    std::size_t users = 0;            // of these, from users
    std::size_t peer_api = 0;         // from other controllers
    std::size_t direct_commands = 0;  // to workers
    // What users leave of the public API.
    [[nodiscard]] std::size_t workers() const { return public_api - users; }
};

// The budget for the settings' number of sockets and of peers. What it leaves serves requests to peers, to
// the store and to the cloud.
SocketBudget allocate_sockets(const config::Settings& settings);

}  // namespace pineroad::net
