// Routes of the user API and the worker API.
#pragma once

#include <string>
#include <string_view>

#include "api/health_check.hpp"
#include "api/user_api.hpp"
#include "api/worker_api.hpp"
#include "net/http.hpp"

namespace pineroad::api {

// The endpoint that a path refers to.
enum class Endpoint { heartbeat, health, submit, poll, cancel, none };

// A parsed path.
struct Route {
    Endpoint endpoint = Endpoint::none;
    std::string job;  // id of the job in the path, if any
};

// Returns the route of a request target. The query is ignored.
Route parse_route(std::string_view target);

// Returns the HTTP method that an endpoint accepts.
std::string_view allowed_method(Endpoint endpoint);

// Passes requests to the API that handles them.
class Router {
   public:
    // All of these must outlive the router.
    Router(UserApi& user_api, WorkerApi& worker_api, const HealthCheck& health_check);
    // Handles a request from a user, a worker or the balancer. Returns 404 for an unknown path and 405 for a
    // wrong method.
    net::awaitable<net::Response> handle(net::Request request);

   private:
    UserApi& user_api_;
    WorkerApi& worker_api_;
    const HealthCheck& health_check_;
};

}  // namespace pineroad::api
