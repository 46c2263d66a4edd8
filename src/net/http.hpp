// Plain requests and replies, so that the rest of the code needs no HTTP library.
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

// A request to this process. The target is path and query as they were sent.
struct Request {
    std::string method, target, body;
};

// The answer to a request, of this process or to it.
struct Reply {
    int status = 0;
    std::string body;
    int retry_after_s = 0;   // 0: no header
    bool close = false;      // the connection ends with it
    bool too_large = false;  // there was an answer, but more of it than is taken: the body is missing
};

// Whoever can be asked over HTTP.
class Client {
   public:
    virtual ~Client() = default;
    // The answer. Nothing: the outcome is unknown, since the request may or may not have been executed, and
    // may yet be.
    virtual awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                                    double timeout_s) = 0;
};

// Makes a client of an endpoint; tests put clients of simulated endpoints in their place.
using ClientFactory = std::function<std::unique_ptr<Client>(const config::Endpoint&)>;

}  // namespace pineroad::net
