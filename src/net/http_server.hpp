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

    HttpServer(asio::any_io_executor executor, config::Endpoint at, std::size_t max_connections,
               Handler handler);
    // Binds and serves until the process ends. Throws when the address can't be bound.
    void start();

   private:
    struct State;
    static awaitable<void> accept(std::shared_ptr<State> state);
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
