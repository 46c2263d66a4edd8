// HTTP/1.1 server on one address: keep-alive connections, one request at a time on each, everything bounded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

// Server on one address. Its connections may outlive it.
class HttpServer {
   public:
    // Answers a request. An exception that it throws closes the connection.
    using Handler = std::function<awaitable<Reply>(Request)>;

    // Two classes share the connections, prioritized and ordinary ones, so that many of one leave room for
    // the other. A connection is of the class of its latest request.
    struct Limits {
        std::size_t connections = 0;  // of both classes and of those that have not asked yet
        std::size_t max_ordinary_connections =
            SIZE_MAX;  // of these: beyond, a request gets `make_rejection` and the connection ends
        // A connection without a request for so long is closed: before its first one, and then by its class.
        double first_request_s = 0, prioritized_idle_s = 0, ordinary_idle_s = 0;
        // Whether a request with that target is prioritized.
        std::function<bool(const std::string& target)> is_prioritized = [](const std::string&) {
            return true;
        };
        // The answer to a request beyond the ordinary ones.
        std::function<Reply()> make_rejection = [] { return Reply{503, {}, 1, true}; };
    };

    // Binds to nothing yet. Port 0 takes any that is free.
    HttpServer(const asio::any_io_executor& executor, config::Endpoint endpoint, Limits limits,
               Handler handler);
    // Binds and serves until the process ends. Throws when the address can't be bound.
    void start();
    // The port that it is bound to.
    [[nodiscard]] std::uint16_t port() const;

   private:
    struct State;
    // Accepts connections, and spawns the serving of each, until the process ends.
    static awaitable<void> accept_connections(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
