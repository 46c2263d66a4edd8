// HTTP/1.1 client of one endpoint with a bounded pool of keep-alive connections and a bounded request queue.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

// Client of one endpoint. Requests in flight may outlive the client.
class HttpClient : public Client {
   public:
    // Opens no connection yet. A response body of more than `max_body_bytes` is discarded and reported by
    // `Response::too_large`.
    HttpClient(asio::any_io_executor executor, config::Endpoint endpoint, std::size_t max_body_bytes);

    // Also returns std::nullopt for a request that was not sent, because the queue was full, no connection
    // became free in time, or none could be opened.
    awaitable<std::optional<Response>> request(std::string method, std::string target, std::string body,
                                               double timeout_s) override;

   private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
