#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

namespace pineroad::controller {

namespace c = constants;
namespace records = wire::records;
using net::Reply;
using net::sleep_for;

Controller::Controller(net::asio::io_context& io, const config::Settings& settings,
                       const config::Tuning& tuning, net::Connect connect, std::uint64_t seed,
                       std::uint64_t record_format)
    : io_(io),
      settings_(settings),
      tuning_(tuning),
      sockets_(net::allocate_sockets(settings)),
      record_format_(record_format),
      public_server_(io.get_executor(), settings.public_endpoint, public_server_limits(),
                     [this](net::Request r) { return front(std::move(r)); }),
      peer_server_(io.get_executor(), settings.peer_endpoint, peer_server_limits(),
                   [this](net::Request r) { return mesh(std::move(r)); }),
      connect_(std::move(connect)),
      store_(connect_(settings.store_endpoint), settings.store_requests_per_s, settings.peers.size() + 1),
      cloud_(connect_(settings.cloud_endpoint)),
      started_at_(now()),
      random_(seed),
      lease_guard_(settings.cancellation_timeout_s, settings.worker_lease_s),
      leadership_(lease_guard_),
      linearizable_read_(store_, watch_cache_, leadership_),
      watch_loop_(store_, watch_cache_, leadership_),
      election_(settings.name, {store_, watch_cache_, linearizable_read_, lease_guard_, leadership_, *this,
                                *this, random_}) {
    for (const auto& p : settings_.peers) {
        peer_clients_.push_back(connect_(p.endpoint));
        peers_.emplace_back();
    }
}

// Reports and health checks are favoured: at the limit users are told to come back, and the connection that
// they are told on ends, so that the balancer can take them to another node.
net::HttpServer::Limits Controller::public_server_limits() {
    net::HttpServer::Limits l;
    l.connections = sockets_.front;
    l.ordinary = sockets_.users;
    l.first_request_s = c::first_request_s;
    l.ordinary_idle_s = c::user_idle_s;
    l.prioritized_idle_s = c::heartbeat_periods_idle * settings_.heartbeat_period_s + c::heartbeat_response_s;
    l.prioritized = [](const std::string& target) {
        const auto path = target.substr(0, target.find('?'));
        return path == wire::heartbeat_path || path == wire::health_path;
    };
    l.full = [this] {
        return Reply{503, wire::error_response("no connection is free"), retry_after(), true};
    };
    return l;
}

net::HttpServer::Limits Controller::peer_server_limits() const {
    net::HttpServer::Limits l;
    l.connections = sockets_.mesh;
    l.first_request_s = l.prioritized_idle_s = c::first_request_s;
    return l;
}

void Controller::spawn(awaitable<void> loop) {
    net::asio::co_spawn(io_, std::move(loop), [](const std::exception_ptr& e) {
        if (e)
            std::rethrow_exception(
                e);  // a loop that ends is a defect: better a restart than half a controller
    });
}

void Controller::start() {
    public_server_.start();
    peer_server_.start();
    spdlog::info("{} serves users and workers on {}, controllers on {}", settings_.name,
                 settings_.public_endpoint.text(), settings_.peer_endpoint.text());
    run_loops();
}

void Controller::run_loops() {
    spawn(watch_loop_.run());
    spawn(election_.run());
    spawn(event_loop_lag_loop());
    spawn(dependency_loop());
    for (std::size_t i = 0; i < peers_.size(); ++i) spawn(peer_loop(i));
}

double Controller::now() const {
    return std::chrono::duration<double>(net::Clock::now().time_since_epoch()).count();
}
std::int64_t Controller::wall_ms() {
    return net::Clock::wall_ms();
}
int Controller::retry_after() {
    return std::uniform_int_distribution<int>(c::retry_after_min_s, c::retry_after_max_s)(random_);
}

// --- front -------------------------------------------------------------------------------------------------

net::awaitable<Reply> Controller::front(net::Request r) {
    const auto query = r.target.find('?');
    const std::string path = r.target.substr(0, query);
    const auto not_allowed = Reply{405, wire::error_response("method not allowed")};
    if (path == wire::heartbeat_path) {
        if (r.method != "POST") co_return not_allowed;
        co_return co_await handle_heartbeat(std::move(r.body));
    }
    if (path == wire::health_path) {
        if (r.method != "GET") co_return not_allowed;
        co_return health();
    }
    if (path == wire::submissions_path) {
        if (r.method != "POST") co_return not_allowed;
        co_return co_await submit(std::move(r.body));
    }
    const std::string prefix = std::string(wire::submissions_path) + "/";
    if (path.starts_with(prefix)) {
        std::string id = path.substr(prefix.size());
        constexpr std::string_view suffix = "/cancel";
        if (id.ends_with(suffix) && id.size() > suffix.size()) {
            id.resize(id.size() - suffix.size());
            if (r.method != "POST") co_return not_allowed;
            co_return co_await cancel(std::move(id));
        }
        if (id.find('/') == std::string::npos) {
            if (r.method != "GET") co_return not_allowed;
            co_return co_await poll(std::move(id));
        }
    }
    co_return Reply{404, wire::error_response("no such path")};
}

// --- mesh --------------------------------------------------------------------------------------------------

wire::PeerMessage Controller::gossip() const {
    auto ms = [](double s) { return static_cast<std::uint64_t>(std::max(0.0, s) * 1000); };
    wire::PeerMessage g;
    g.node = settings_.name;
    g.fencing_token = leadership_.advertised_token();
    g.leader = leadership_.known_leader();
    g.uptime_ms = ms(now() - started_at_);
    g.store_contact_age_ms = store_.last_contact() < 0 ? g.uptime_ms : ms(now() - store_.last_contact());
    g.heartbeat_age_ms = last_heartbeat_ < 0 ? g.uptime_ms : ms(now() - last_heartbeat_);
    g.revision = watch_cache_.ready ? watch_cache_.revision : 0;
    g.format = record_format_;
    g.dependencies_requested = asked_to_depend_;
    return g;
}

net::awaitable<Reply> Controller::mesh(net::Request r) {
    if (r.target != wire::peer_message_path) co_return Reply{404, {}};
    if (r.method != "POST") co_return Reply{405, {}};
    const auto g = wire::parse_peer_message(r.body);
    if (!g) co_return Reply{400, {}};
    // May have been held back on the way: only what can't become untrue is taken from it.
    leadership_.observe(g->fencing_token, g->leader);
    for (const auto& [revision, id] : g->cancelled)
        watch_cache_.record_outcome(id, {model::FinalStatus::cancelled}, revision);
    apply_peer_request(*g);
    auto answer = gossip();
    if (auto known = watch_cache_.cancellations().after(g->revision)) {
        answer.confirms_cancellations = true;
        answer.cancelled = std::move(*known);
    }
    co_return Reply{200, wire::encode_peer_message(answer)};
}

void Controller::apply_peer_request(const wire::PeerMessage& question) {
    asked_to_depend_ |= question.dependencies_requested;
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
        if (settings_.peers[i].name != question.node) continue;
        peers_[i].last_request_at = now();
        peers_[i].reads_format |= question.format >= records::format;
    }
}

net::awaitable<void> Controller::peer_loop(std::size_t peer) {
    for (;;) {
        const double sent = now();
        const auto reply = co_await peer_clients_[peer]->request("POST", std::string(wire::peer_message_path),
                                                                 wire::encode_peer_message(gossip()),
                                                                 c::peer_message_timeout_s);
        if (reply && reply->status == 200)
            if (auto g = wire::parse_peer_message(reply->body))
                apply_peer_response(peer, sent, std::move(*g));
        co_await sleep_for(c::peer_message_period_s);
    }
}

// The leader's watch tells it a moment later, or, while the state service refuses it alone, the next round of
// gossip: in between it would start tasks of a job whose user was told. A courtesy with a short wait, no
// proof.
net::awaitable<void> Controller::forward_cancellation(std::uint64_t revision, std::string job) {
    if (!watch_cache_.leader) co_return;
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
        if (settings_.peers[i].name != watch_cache_.leader->value.node) continue;
        auto g = gossip();
        g.cancelled.emplace_back(revision, std::move(job));
        const auto body = wire::encode_peer_message(g);
        co_await peer_clients_[i]->request("POST", std::string(wire::peer_message_path), body,
                                           c::forward_cancellation_timeout_s);
        co_return;
    }
}

// What a peer names is known here from now on, and passed on, before it counts as a proof.
void Controller::apply_peer_response(std::size_t peer, double sent, wire::PeerMessage answer) {
    leadership_.observe(answer.fencing_token, answer.leader);
    for (const auto& [revision, id] : answer.cancelled)
        watch_cache_.record_outcome(id, {model::FinalStatus::cancelled}, revision);
    PeerContact& view = peers_[peer];
    view.contacted_at = sent;
    view.answered_at = now();
    view.reads_format |= answer.format >= records::format;
    asked_to_depend_ |= answer.dependencies_requested;
    view.last = std::move(answer);
    std::vector<leadership::PeerConfirmation> proofs;
    for (const auto& p : peers_)
        proofs.push_back({p.contacted_at, p.answered_at, static_cast<double>(p.last.uptime_ms) / 1000.0,
                          p.last.confirms_cancellations});
    lease_guard_.confirm_by_peers(proofs);
}

// Every peer answers, and none was served since this node is refused.
bool Controller::store_down_for_all() const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const PeerContact& p) {
        return p.contacted_at >= now() - c::peer_contact_fresh_s &&
               !leadership::LeaseGuard::store_serves_peer(now(), store_.refusal(), p.contact());
    });
}

net::awaitable<void> Controller::dependency_loop() {
    for (;;) {
        if (watch_cache_.ready) co_await resolve(watch_cache_.dependencies().unresolved());
        co_await sleep_for(c::dependency_period_s);
    }
}

// Measures how late the event loop runs: the sign of too little processor time.
net::awaitable<void> Controller::event_loop_lag_loop() {
    for (;;) {
        const double due = now() + c::lag_period_s;
        co_await sleep_for(c::lag_period_s);
        const double late = std::max(0.0, now() - due);
        event_loop_lag_s_ = late > event_loop_lag_s_ ? late : 0.8 * event_loop_lag_s_ + 0.2 * late;
    }
}

void run(const config::Settings& settings, const config::Tuning& tuning) {
    net::asio::io_context io(1);
    const auto body_max = static_cast<std::size_t>(settings.memory_mb * 1024 * 1024 * c::answer_memory_share);
    const auto connect = [&io, body_max](const config::Endpoint& to) -> std::unique_ptr<net::Client> {
        return std::make_unique<net::HttpClient>(io.get_executor(), to, body_max);
    };
    Controller node(io, settings, tuning, connect, std::random_device{}());
    node.start();
    io.run();
}

}  // namespace pineroad::controller
