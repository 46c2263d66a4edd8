#include "api/router.hpp"

#include <utility>

#include "wire/protocol.hpp"

namespace pineroad::api {

using net::Response;

Route parse_route(std::string_view target) {
    std::string_view path = target.substr(0, target.find('?'));
    if (path == wire::heartbeat_path) return {Endpoint::heartbeat, {}};
    if (path == wire::health_path) return {Endpoint::health, {}};
    if (path == wire::submissions_path) return {Endpoint::submit, {}};
    constexpr std::string_view separator = "/", cancel_suffix = wire::cancellation_suffix;
    if (!path.starts_with(wire::submissions_path)) return {};
    path.remove_prefix(wire::submissions_path.size());
    if (!path.starts_with(separator)) return {};
    path.remove_prefix(separator.size());
    if (path.ends_with(cancel_suffix) && path.size() > cancel_suffix.size()) {
        path.remove_suffix(cancel_suffix.size());
        return {Endpoint::cancel, std::string(path)};
    }
    if (path.find('/') != std::string_view::npos) return {};
    return {Endpoint::poll, std::string(path)};
}

std::string_view allowed_method(Endpoint endpoint) {
    const bool reads = endpoint == Endpoint::health || endpoint == Endpoint::poll;
    return reads ? "GET" : "POST";
}

Router::Router(UserApi& user_api, WorkerApi& worker_api, const HealthCheck& health_check)
    : user_api_(user_api), worker_api_(worker_api), health_check_(health_check) {}

net::awaitable<Response> Router::handle(net::Request request) {
    auto route = parse_route(request.target);
    if (route.endpoint == Endpoint::none) co_return Response{404, wire::error_response("no such path")};
    if (request.method != allowed_method(route.endpoint))
        co_return Response{405, wire::error_response("method not allowed")};
    switch (route.endpoint) {
        case Endpoint::heartbeat:
            co_return co_await worker_api_.heartbeat(std::move(request.body));
        case Endpoint::health:
            co_return health_check_.check();
        case Endpoint::submit:
            co_return co_await user_api_.submit(std::move(request.body));
        case Endpoint::poll:
            co_return co_await user_api_.poll(std::move(route.job));
        case Endpoint::cancel:
            co_return co_await user_api_.cancel(std::move(route.job));
        case Endpoint::none:
            break;
    }
    co_return Response{404, wire::error_response("no such path")};
}

}  // namespace pineroad::api
