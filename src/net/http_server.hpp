// HTTP/1.1 server on one address: keep-alive connections, one request at a time on each, everything bounded.
#pragma once

#include <functional>
#include <memory>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

class HttpServer {
   public:
    using Handler = std::function<awaitable<Reply>(Request)>;

    // Two classes share the connections, so that a crowd of one leaves room for the other. A connection is of
    // the class of its latest request.
    struct Limits {
        std::size_t connections = 0;      // of both classes and of those that have not asked yet
        std::size_t ordinary = SIZE_MAX;  // of these: beyond, a request gets `full` and the connection ends
        double first_request_s = 0, prioritized_idle_s = 0, ordinary_idle_s = 0;  // a silent one is closed
        std::function<bool(const std::string& target)> prioritized = [](const std::string&) { return true; };
        std::function<Reply()> full = [] { return Reply{503, {}, 1, true}; };
    };

    HttpServer(const asio::any_io_executor& executor, config::Endpoint at, Limits limits, Handler handler);
    // Binds and serves until the process ends. Throws when the address can't be bound.
    void start();
    [[nodiscard]] std::uint16_t port() const;  // bound to; tells which one when any was asked for

   private:
    struct State;
    static awaitable<void> accept(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
