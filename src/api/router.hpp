// The paths of the users' and the workers' API.
#pragma once

#include <string>
#include <string_view>

#include "api/health_check.hpp"
#include "api/user_api.hpp"
#include "api/worker_api.hpp"
#include "net/http.hpp"

namespace pineroad::api {

// What a path leads to.
enum class Endpoint { heartbeat, health, submit, poll, cancel, none };

// A path, taken apart.
struct Route {
    Endpoint endpoint = Endpoint::none;
    std::string job;  // that the path names, if any
};

// The route of a request's target; a query is ignored.
Route parse_route(std::string_view target);

// The method that an endpoint answers to.
std::string_view allowed_method(Endpoint endpoint);

// Passes requests on to the part of the API that answers them.
class Router {
   public:
    // All of these must outlive the router.
    Router(UserApi& users, WorkerApi& workers, const HealthCheck& health);
    // Answers a request of a user, a worker or the balancer: 404 for an unknown path, 405 for a wrong method.
    net::awaitable<net::Reply> handle(net::Request request);

   private:
    UserApi& users_;
    WorkerApi& workers_;
    const HealthCheck& health_;
};

}  // namespace pineroad::api
