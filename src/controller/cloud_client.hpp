// Client of the cloud's API. Only the leader uses it; its loops share one rate limit.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/http.hpp"

namespace pineroad::controller {

// Sends requests to the cloud within its rate limit.
class CloudClient {
   public:
    // `requests_per_s` is the cloud's rate limit, of which cloud_request_share is used.
    CloudClient(std::unique_ptr<net::Client> client, double requests_per_s);
    // Waits until the next request may be sent, and reserves that slot.
    net::awaitable<void> wait_for_rate_limit();
    // Returns the response, or nothing if none arrived within cloud_timeout_s. In that case the request may
    // have been executed.
    net::awaitable<std::optional<net::Response>> request(std::string method, std::string target,
                                                         std::string body = {});

   private:
    std::unique_ptr<net::Client> client_;
    const double interval_s_;
    double next_request_at_ = 0;
};

}  // namespace pineroad::controller
