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
      state_(connect_(settings.store_endpoint)),
      cloud_(connect_(settings.cloud_endpoint)),
      started_at_(now()),
      random_(seed),
      lease_guard_(settings.cancellation_timeout_s, settings.worker_lease_s) {
    for (const auto& p : settings_.peers) {
        peer_clients_.push_back(connect_(p.endpoint));
        peers_.emplace_back();
    }
}

// Reports and health checks are favoured: at the limit users are told to come back, and the connection that
// they are told on ends, so that the balancer can take them to another node.
net::HttpServer::Limits Controller::public_server_limits() {
    net::HttpServer::Limits l;
    l.connections = sockets_.public_api;
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
    l.connections = sockets_.peer_api;
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
    spawn(watch_loop());
    spawn(election_loop());
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

// --- state service -----------------------------------------------------------------------------------------

net::awaitable<std::optional<Reply>> Controller::state(std::string method, std::string target,
                                                       std::string body, double timeout_s) {
    const double sent = now();
    auto reply = co_await state_->request(std::move(method), std::move(target), std::move(body), timeout_s);
    // 503 is an outage, of all or of this node alone; anything else shows that the service serves this node.
    if (reply && reply->status != 503) {
        last_store_contact_ = std::max(last_store_contact_, sent);
        if (sent > store_refusal_.since) store_refusal_ = {};
    } else {
        if (store_refusal_.since < 0) store_refusal_.since = now();
        store_refusal_.last_sent = std::max(store_refusal_.last_sent, sent);
    }
    co_return reply;
}

// Between requests of one kind, so that all nodes together keep to its share of what the state service
// serves.
double Controller::pacing_interval(double share) const {
    return static_cast<double>(peers_.size() + 1) / (settings_.store_requests_per_s * share);
}

net::awaitable<bool> Controller::load_watch_cache() {
    watch_cache_.clear();
    std::string after;
    std::uint64_t first_epoch = 0;
    for (bool more = true; more;) {
        const auto reply =
            co_await state("GET", wire::list_store_target(records::live_prefix, after, c::list_page), {},
                           3 * c::store_timeout_s);
        if (!reply || reply->status != 200) co_return false;
        const auto rows = wire::parse_rows(reply->body);
        if (!rows) co_return false;
        if (first_epoch == 0) first_epoch = rows->revision;
        for (const auto& row : rows->rows)
            watch_cache_.apply_row(row.key, row.value, row.mod_revision, now());
        more = rows->truncated && !rows->rows.empty();
        if (more) after = rows->rows.back().key;
    }
    // Pages were read one after the other; what changed between them comes again from the first page's
    // revision.
    watch_cache_.revision = first_epoch;
    const double sent = now();
    const auto reply = co_await state("GET", wire::watch_target(records::all_prefix, first_epoch, 0));
    const auto events = reply && reply->status == 200 ? wire::parse_watch_events(reply->body) : std::nullopt;
    if (!events) co_return false;
    watch_cache_.apply(*events, now());
    watch_cache_.complete();
    lease_guard_.cancellations_known_until(sent);
    spdlog::info("mirror ready: {} jobs at revision {}", watch_cache_.jobs.size(), watch_cache_.revision);
    co_return true;
}

net::awaitable<void> Controller::watch_loop() {
    for (;;) {
        if (!watch_cache_.ready) {
            if (!co_await load_watch_cache()) {
                co_await sleep_for(c::store_retry_s);
                continue;
            }
            leadership_changed_.notify();
        }
        const double sent = now();
        const auto target = wire::watch_target(records::all_prefix, watch_cache_.revision,
                                               static_cast<int>(c::watch_block_s * 1000));
        const auto reply = co_await state("GET", target, {}, c::watch_block_s + c::store_timeout_s);
        // After a long cut a watch may tell more than memory holds; what is there now is far less.
        if (reply && (reply->status == 410 || reply->too_large)) {
            spdlog::info("watch too old, the mirror is read anew");
            watch_cache_.ready = false;
            if (term_) end_term(*term_, "its mirror was lost");
            continue;
        }
        const auto events =
            reply && reply->status == 200 ? wire::parse_watch_events(reply->body) : std::nullopt;
        if (!events) {
            co_await sleep_for(c::store_retry_s);
            continue;
        }
        const bool had_leader = watch_cache_.leader.has_value();
        watch_cache_.apply(*events, now());
        lease_guard_.cancellations_known_until(sent);
        if (watch_cache_.leader)
            observe_token(watch_cache_.leader->value.fencing_token, watch_cache_.leader->value.node);
        if (had_leader && !watch_cache_.leader) leadership_changed_.notify();
        if (term_) term_->dirty.notify();
        // Changes come in crowds; a short pause turns many answers into one. The leader hurries more.
        co_await sleep_for(term_ ? c::watch_gap_leader_s : pacing_interval(c::watch_share));
    }
}

net::awaitable<bool> Controller::linearizable_read() {
    if (!watch_cache_.ready) co_return false;
    // A check that started before this call proves nothing for it: wait for the next one.
    const auto wanted = reads_started_ + 1;
    const double deadline = now() + c::store_timeout_s + 0.2;
    while (reads_done_ < wanted) {
        if (read_running_) {
            if (now() > deadline) co_return false;
            co_await read_finished_.wait(deadline - now() + 0.01);
            continue;
        }
        read_running_ = true;
        const double gap = last_read_sent_ + pacing_interval(c::linearizable_read_share) - now();
        if (gap > 0) co_await sleep_for(gap);  // others arrive meanwhile and share the check
        const auto number = ++reads_started_;
        const double sent = last_read_sent_ = now();
        const auto reply =
            co_await state("GET", wire::watch_target(records::all_prefix, watch_cache_.revision, 0));
        const auto events = watch_cache_.ready && reply && reply->status == 200
                                ? wire::parse_watch_events(reply->body)
                                : std::nullopt;
        if (events) {
            watch_cache_.apply(*events, now());
            lease_guard_.cancellations_known_until(sent);
            if (watch_cache_.leader)
                observe_token(watch_cache_.leader->value.fencing_token, watch_cache_.leader->value.node);
        }
        read_succeeded_ = events.has_value();
        reads_done_ = number;
        read_running_ = false;
        read_finished_.notify();
        if (number >= wanted) co_return read_succeeded_;
    }
    co_return read_succeeded_;
}

// --- mesh --------------------------------------------------------------------------------------------------

void Controller::observe_token(std::uint64_t fencing_token, const std::string& from) {
    if (fencing_token > highest_token_) {
        highest_token_ = fencing_token;
        known_leader_ = from;
    }
    if (term_ && !term_->over && fencing_token > term_->fencing_token)
        end_term(*term_, "a newer term exists");
}

wire::PeerMessage Controller::gossip() const {
    auto ms = [](double s) { return static_cast<std::uint64_t>(std::max(0.0, s) * 1000); };
    wire::PeerMessage g;
    g.node = settings_.name;
    g.fencing_token = term_ && !term_->over ? std::max(term_->fencing_token, highest_token_) : highest_token_;
    g.leader = known_leader_;
    g.uptime_ms = ms(now() - started_at_);
    g.store_contact_age_ms = last_store_contact_ < 0 ? g.uptime_ms : ms(now() - last_store_contact_);
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
    observe_token(g->fencing_token, g->leader);
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
    observe_token(answer.fencing_token, answer.leader);
    for (const auto& [revision, id] : answer.cancelled)
        watch_cache_.record_outcome(id, {model::FinalStatus::cancelled}, revision);
    PeerContact& view = peers_[peer];
    view.contacted_at = sent;
    view.answered_at = now();
    view.reads_format |= answer.format >= records::format;
    asked_to_depend_ |= answer.dependencies_requested;
    view.last = std::move(answer);
    std::vector<leadership::LeaseGuard::Peer> proofs;
    for (const auto& p : peers_)
        proofs.push_back({p.contacted_at, p.answered_at, static_cast<double>(p.last.uptime_ms) / 1000.0,
                          p.last.confirms_cancellations});
    lease_guard_.confirm_by_peers(proofs);
}

// Every peer answers, and none was served since this node is refused.
bool Controller::store_down_for_all() const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const PeerContact& p) {
        return p.contacted_at >= now() - c::peer_contact_fresh_s &&
               !leadership::LeaseGuard::store_serves_peer(now(), store_refusal_, p.contact());
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
