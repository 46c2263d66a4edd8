// Starts the loops of a controller.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

#include "net/http.hpp"

namespace pineroad::controller {

// Starts a loop that must not fail. An exception that leaves the loop is a bug and ends the process: a
// restart is better than a controller that keeps running without one of its loops.
inline void spawn(net::asio::io_context& io, net::awaitable<void> loop) {
    net::asio::co_spawn(io, std::move(loop), [](const std::exception_ptr& error) {
        if (error) std::rethrow_exception(error);
    });
}

}  // namespace pineroad::controller
