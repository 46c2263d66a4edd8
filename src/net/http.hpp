// HTTP requests and responses as plain structs, so that the rest of the code does not depend on an HTTP
// library.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "net/awaitable.hpp"
#include "net/clock.hpp"

namespace pineroad::net {

// A request to this process. `target` is the undecoded path and query.
struct Request {
    std::string method, target, body;
};

// The response to a request, sent or received by this process.
struct Response {
    int status = 0;
    std::string body;
    int retry_after_s = 0;   // 0: no Retry-After header
    bool close = false;      // close the connection after sending it
    bool too_large = false;  // the received body exceeded the limit and was discarded
};

// HTTP client of one endpoint.
class Client {
   public:
    virtual ~Client() = default;
    // Sends a request and returns the response. Returns std::nullopt if none was received; the outcome is
    // then unknown: the request may have been executed, may be executed later, or may never be.
    virtual awaitable<std::optional<Response>> request(std::string method, std::string target,
                                                       std::string body, double timeout_s) = 0;
};

// Creates a client of an endpoint. Tests supply clients of simulated endpoints.
using ClientFactory = std::function<std::unique_ptr<Client>(const config::Endpoint&)>;

}  // namespace pineroad::net
