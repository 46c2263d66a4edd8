// HTTP/1.1 server on one address: keep-alive connections without pipelining; connections, request sizes and
// idle times are limited.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

// Server on one address. Connections may outlive the server.
class HttpServer {
   public:
    // Handles a request and returns the response. An exception closes the connection.
    using Handler = std::function<awaitable<Response>(Request)>;

    // Limits of the connections. Connections belong to one of two classes, prioritized or ordinary, depending
    // on their latest request. The separate limit of ordinary ones leaves room for prioritized ones.
    struct Limits {
        std::size_t max_connections = 0;  // in total, including those without a request so far
        std::size_t max_ordinary_connections = SIZE_MAX;  // maximum of the ordinary ones among these
        // Longest time to wait for the first request of a connection, and then for the next one, depending on
        // the class of the latest. The connection is closed afterwards.
        double first_request_timeout_s = 0, prioritized_idle_timeout_s = 0, ordinary_idle_timeout_s = 0;
        // Returns whether requests with this target are prioritized.
        std::function<bool(const std::string& target)> is_prioritized = [](const std::string&) {
            return true;
        };
        // Returns the response to an ordinary request over the limit.
        std::function<Response()> make_rejection = [] { return Response{503, {}, 1, true}; };
    };

    // Does not bind yet. Port 0 selects any free port.
    HttpServer(const asio::any_io_executor& executor, config::Endpoint endpoint, Limits limits,
               Handler handler);
    // Binds the address and serves until the process ends. Throws if the address cannot be bound.
    void start();
    // Returns the port that the server is bound to.
    [[nodiscard]] std::uint16_t port() const;

   private:
    struct State;
    // Accepts connections and spawns a coroutine for each until the process ends.
    static awaitable<void> accept_connections(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
