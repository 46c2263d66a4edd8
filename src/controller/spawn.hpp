// Starts the loops of a controller.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "net/http.hpp"

namespace pineroad::controller {

// Starts a loop that must not fail. An exception that leaves the loop is a bug: it is logged with the loop's
// name and ends the process, because a restart is better than a controller that keeps running without one of
// its loops.
void spawn(net::asio::io_context& io, std::string name, net::awaitable<void> loop);

}  // namespace pineroad::controller
