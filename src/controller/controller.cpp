#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <random>
#include <string>
#include <utility>

#include "api/admission.hpp"
#include "api/event_loop_lag.hpp"
#include "api/health_check.hpp"
#include "api/job_lookup.hpp"
#include "api/job_writer.hpp"
#include "api/load_shedding.hpp"
#include "api/router.hpp"
#include "api/user_api.hpp"
#include "api/worker_api.hpp"
#include "config/constants.hpp"
#include "controller/cloud_client.hpp"
#include "controller/leader_loops.hpp"
#include "controller/spawn.hpp"
#include "leadership/election.hpp"
#include "leadership/leadership_state.hpp"
#include "leadership/lease_guard.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/socket_budget.hpp"
#include "peers/peer_directory.hpp"
#include "peers/peer_exchange.hpp"
#include "peers/record_format_tracker.hpp"
#include "store/linearizable_read.hpp"
#include "store/steady_time.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"
#include "store/watch_loop.hpp"

namespace pineroad::controller {

namespace c = constants;

namespace {

// Heartbeats and health checks have priority. At the connection limit users are asked to retry later and
// their connection is closed, so that the balancer can route them to another controller.
net::HttpServer::Limits public_server_limits(const config::Settings& settings,
                                             const net::SocketBudget& sockets,
                                             api::LoadShedding& load_shedding) {
    net::HttpServer::Limits limits;
    limits.max_connections = sockets.public_api;
    limits.max_ordinary_connections = sockets.users;
    limits.first_request_timeout_s = c::first_request_timeout_s;
    limits.ordinary_idle_timeout_s = c::user_idle_timeout_s;
    limits.prioritized_idle_timeout_s =
        c::idle_timeout_heartbeat_periods * settings.heartbeat_period_s + c::heartbeat_response_timeout_s;
    limits.is_prioritized = [](const std::string& target) {
        const auto endpoint = api::parse_route(target).endpoint;
        return endpoint == api::Endpoint::heartbeat || endpoint == api::Endpoint::health;
    };
    limits.make_rejection = [&load_shedding] { return load_shedding.reject_no_connection(); };
    return limits;
}

net::HttpServer::Limits peer_server_limits(const net::SocketBudget& sockets) {
    net::HttpServer::Limits limits;
    limits.max_connections = sockets.peer_api;
    limits.first_request_timeout_s = limits.prioritized_idle_timeout_s = c::first_request_timeout_s;
    return limits;
}

}  // namespace

// Each component depends only on those declared before it.
struct Controller::Components {
    Components(net::asio::io_context& executor_context, const config::Settings& platform_settings,
               const config::Tuning& operators_tuning, net::ClientFactory http_client_factory,
               std::uint64_t seed, std::uint64_t own_record_format);

    net::asio::io_context& io;
    const config::Settings settings;
    const config::Tuning tuning;
    const net::SocketBudget sockets;
    const net::ClientFactory client_factory;
    const double started_at = store::steady_now_s();
    std::mt19937_64 random;

    store::WatchCache watch_cache;
    store::StoreClient store;
    CloudClient cloud;

    leadership::LeaseGuard lease_guard;
    leadership::LeadershipState leadership;
    store::LinearizableRead linearizable_read;
    store::WatchLoop watch_loop;

    peers::PeerDirectory peer_directory;
    peers::RecordFormatTracker record_format_tracker;
    peers::PeerExchange peer_exchange;

    api::EventLoopLagMonitor event_loop_lag;
    LeaderLoops leader_loops;
    leadership::Election election;

    api::LoadShedding load_shedding;
    api::JobLookup job_lookup;
    api::JobWriter job_writer;
    api::Admission admission;
    api::UserApi user_api;
    api::WorkerApi worker_api;
    api::HealthCheck health_check;
    api::Router router;

    net::HttpServer public_server, peer_server;
};

Controller::Components::Components(net::asio::io_context& executor_context,
                                   const config::Settings& platform_settings,
                                   const config::Tuning& operators_tuning,
                                   net::ClientFactory http_client_factory, std::uint64_t seed,
                                   std::uint64_t own_record_format)
    : io(executor_context),
      settings(platform_settings),
      tuning(operators_tuning),
      sockets(net::allocate_sockets(settings)),
      client_factory(std::move(http_client_factory)),
      random(seed),
      store(client_factory(settings.store_endpoint), settings.store_requests_per_s,
            settings.peers.size() + 1),
      cloud(client_factory(settings.cloud_endpoint), settings.cloud_requests_per_s),
      lease_guard(settings.cancellation_timeout_s, settings.worker_lease_s),
      leadership(lease_guard),
      linearizable_read(store, watch_cache, leadership),
      watch_loop(store, watch_cache, leadership),
      peer_directory(settings),
      record_format_tracker(settings, watch_cache, peer_directory, own_record_format, started_at),
      peer_exchange(settings.name, started_at,
                    {store, watch_cache, lease_guard, leadership, peer_directory, record_format_tracker},
                    client_factory),
      leader_loops({io, settings, tuning, client_factory, sockets.direct_commands, store, watch_cache,
                    linearizable_read, cloud, record_format_tracker, event_loop_lag}),
      election(settings.name, {store, watch_cache, linearizable_read, lease_guard, leadership, peer_directory,
                               leader_loops, random}),
      load_shedding(store, event_loop_lag, random),
      job_lookup(store, linearizable_read, watch_cache),
      job_writer(settings, store, watch_cache),
      admission({settings, store, watch_cache, job_lookup, record_format_tracker, load_shedding}),
      user_api({watch_cache, job_lookup, job_writer, admission, load_shedding, peer_exchange}),
      worker_api(settings.name, {io.get_executor(), watch_cache, leadership, leader_loops.active_term(),
                                 event_loop_lag, peer_exchange}),
      health_check(store, watch_cache, peer_directory),
      router(user_api, worker_api, health_check),
      public_server(io.get_executor(), settings.public_endpoint,
                    public_server_limits(settings, sockets, load_shedding),
                    [this](net::Request request) { return router.handle(std::move(request)); }),
      peer_server(io.get_executor(), settings.peer_endpoint, peer_server_limits(sockets),
                  [this](net::Request request) { return peer_exchange.handle(std::move(request)); }) {}

Controller::Controller(net::asio::io_context& io, const config::Settings& settings,
                       const config::Tuning& tuning, net::ClientFactory client_factory, std::uint64_t seed,
                       std::uint64_t record_format)
    : components_(std::make_unique<Components>(io, settings, tuning, std::move(client_factory), seed,
                                               record_format)) {}

Controller::~Controller() = default;

void Controller::start() {
    components_->public_server.start();
    components_->peer_server.start();
    const auto& settings = components_->settings;
    spdlog::info("{} listens on {} for users and workers, on {} for peers", settings.name,
                 settings.public_endpoint.to_string(), settings.peer_endpoint.to_string());
    run_loops();
}

void Controller::run_loops() {
    auto& io = components_->io;
    spawn(io, "watch", components_->watch_loop.run());
    spawn(io, "election", components_->election.run());
    spawn(io, "event loop lag", components_->event_loop_lag.run());
    spawn(io, "dependency look-up", components_->job_lookup.resolve_dependencies());
    for (std::size_t peer = 0; peer < components_->peer_directory.size(); ++peer)
        spawn(io, "peer exchange", components_->peer_exchange.run(peer));
}

net::awaitable<net::Response> Controller::handle_public_request(net::Request request) {
    return components_->router.handle(std::move(request));
}

net::awaitable<net::Response> Controller::handle_peer_request(net::Request request) {
    return components_->peer_exchange.handle(std::move(request));
}

void run(const config::Settings& settings, const config::Tuning& tuning) {
    net::asio::io_context io(1);
    const auto max_body_bytes =
        static_cast<std::size_t>(settings.memory_mb * 1024 * 1024 * c::response_memory_share);
    const auto client_factory =
        [&io, max_body_bytes](const config::Endpoint& endpoint) -> std::unique_ptr<net::Client> {
        return std::make_unique<net::HttpClient>(io.get_executor(), endpoint, max_body_bytes);
    };
    Controller controller(io, settings, tuning, client_factory, std::random_device{}());
    controller.start();
    io.run();
}

}  // namespace pineroad::controller
