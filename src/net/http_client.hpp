// HTTP/1.1 client of one endpoint: a bounded pool of kept-alive connections and a bounded queue before it.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "net/http.hpp"

namespace pineroad::net {

// Client of one endpoint. Requests that are under way may outlive it.
class HttpClient : public Client {
   public:
    // Connects to nothing yet. Answers with bodies of more than so many bytes are given as `too_large`.
    HttpClient(asio::any_io_executor executor, config::Endpoint endpoint, std::size_t max_body_bytes);

    // Gives nothing also for a request that was not sent: the queue is full, no connection came free in time,
    // or none could be made.
    awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                            double timeout_s) override;

   private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace pineroad::net
