#include "control/node.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;
using net::Reply;
using net::sleep_for;

Node::Node(net::asio::io_context& io, const config::Settings& settings, const config::Tuning& tuning,
           net::Connect connect, std::uint64_t seed, std::uint64_t record_format)
    : io_(io),
      settings_(settings),
      tuning_(tuning),
      sockets_(net::share_sockets(settings)),
      record_format_(record_format),
      front_(io.get_executor(), settings.front, front_limits(),
             [this](net::Request r) { return front(std::move(r)); }),
      mesh_server_(io.get_executor(), settings.mesh, mesh_limits(),
                   [this](net::Request r) { return mesh(std::move(r)); }),
      connect_(std::move(connect)),
      state_(connect_(settings.state)),
      cloud_(connect_(settings.cloud)),
      started_(now()),
      random_(seed),
      proof_(settings.cancel_s, settings.lease_s) {
    for (const auto& p : settings_.peers) {
        peer_clients_.push_back(connect_(p.endpoint));
        peers_.emplace_back();
    }
}

// Reports and health checks are favoured: at the limit users are told to come back, and the connection that
// they are told on ends, so that the balancer can take them to another node.
net::HttpServer::Limits Node::front_limits() {
    net::HttpServer::Limits l;
    l.connections = sockets_.front;
    l.ordinary = sockets_.users;
    l.first_request_s = c::first_request_s;
    l.ordinary_idle_s = c::user_idle_s;
    l.favoured_idle_s = c::report_gaps_idle * settings_.report_s + c::report_answer_s;
    l.favoured = [](const std::string& target) {
        const auto path = target.substr(0, target.find('?'));
        return path == wire::checkin_path || path == wire::health_path;
    };
    l.full = [this] { return Reply{503, wire::error_answer("no connection is free"), retry_after(), true}; };
    return l;
}

net::HttpServer::Limits Node::mesh_limits() const {
    net::HttpServer::Limits l;
    l.connections = sockets_.mesh;
    l.first_request_s = l.favoured_idle_s = c::first_request_s;
    return l;
}

void Node::spawn(awaitable<void> loop) {
    net::asio::co_spawn(io_, std::move(loop), [](const std::exception_ptr& e) {
        if (e)
            std::rethrow_exception(
                e);  // a loop that ends is a defect: better a restart than half a controller
    });
}

void Node::start() {
    front_.start();
    mesh_server_.start();
    spdlog::info("{} serves users and workers on {}, controllers on {}", settings_.name,
                 settings_.front.text(), settings_.mesh.text());
    run_loops();
}

void Node::run_loops() {
    spawn(mirror_loop());
    spawn(lead_loop());
    spawn(lag_loop());
    spawn(dependency_loop());
    for (std::size_t i = 0; i < peers_.size(); ++i) spawn(gossip_loop(i));
}

double Node::now() const {
    return std::chrono::duration<double>(net::Clock::now().time_since_epoch()).count();
}
std::int64_t Node::wall_ms() {
    return net::Clock::wall_ms();
}
int Node::retry_after() {
    return std::uniform_int_distribution<int>(c::retry_after_min_s, c::retry_after_max_s)(random_);
}

// --- front -------------------------------------------------------------------------------------------------

net::awaitable<Reply> Node::front(net::Request r) {
    const auto query = r.target.find('?');
    const std::string path = r.target.substr(0, query);
    const auto not_allowed = Reply{405, wire::error_answer("method not allowed")};
    if (path == wire::checkin_path) {
        if (r.method != "POST") co_return not_allowed;
        co_return co_await checkin(std::move(r.body));
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
    co_return Reply{404, wire::error_answer("no such path")};
}

// --- state service -----------------------------------------------------------------------------------------

net::awaitable<std::optional<Reply>> Node::state(std::string method, std::string target, std::string body,
                                                 double timeout_s) {
    const double sent = now();
    auto reply = co_await state_->request(std::move(method), std::move(target), std::move(body), timeout_s);
    // 503 is an outage, of all or of this node alone; anything else shows that the service serves this node.
    if (reply && reply->status != 503) {
        state_contact_ = std::max(state_contact_, sent);
        if (sent > refused_.since) refused_ = {};
    } else {
        if (refused_.since < 0) refused_.since = now();
        refused_.last_sent = std::max(refused_.last_sent, sent);
    }
    co_return reply;
}

// Between requests of one kind, so that all nodes together keep to its share of what the state service
// serves.
double Node::gap_for(double share) const {
    return static_cast<double>(peers_.size() + 1) / (settings_.state_rps * share);
}

net::awaitable<bool> Node::load_mirror() {
    mirror_.clear();
    std::string after;
    std::uint64_t first_epoch = 0;
    for (bool more = true; more;) {
        const auto reply =
            co_await state("GET", wire::list_store_target(records::live_prefix, after, c::list_page), {},
                           3 * c::state_timeout_s);
        if (!reply || reply->status != 200) co_return false;
        const auto rows = wire::parse_rows(reply->body);
        if (!rows) co_return false;
        if (first_epoch == 0) first_epoch = rows->epoch;
        for (const auto& row : rows->rows) mirror_.apply_row(row.key, row.value, row.stamp, now());
        more = rows->more && !rows->rows.empty();
        if (more) after = rows->rows.back().key;
    }
    // Pages were read one after the other; what changed between them comes again from the first page's
    // revision.
    mirror_.epoch = first_epoch;
    const double sent = now();
    const auto reply = co_await state("GET", wire::follow_target(records::all_prefix, first_epoch, 0));
    const auto events = reply && reply->status == 200 ? wire::parse_events(reply->body) : std::nullopt;
    if (!events) co_return false;
    mirror_.apply(*events, now());
    mirror_.complete();
    proof_.synced(sent);
    spdlog::info("mirror ready: {} jobs at revision {}", mirror_.jobs.size(), mirror_.epoch);
    co_return true;
}

net::awaitable<void> Node::mirror_loop() {
    for (;;) {
        if (!mirror_.ready) {
            if (!co_await load_mirror()) {
                co_await sleep_for(c::state_retry_s);
                continue;
            }
            term_event_.notify();
        }
        const double sent = now();
        const auto target = wire::follow_target(records::all_prefix, mirror_.epoch,
                                                static_cast<int>(c::follow_block_s * 1000));
        const auto reply = co_await state("GET", target, {}, c::follow_block_s + c::state_timeout_s);
        // After a long cut a watch may tell more than memory holds; what is there now is far less.
        if (reply && (reply->status == 410 || reply->too_large)) {
            spdlog::info("watch too old, the mirror is read anew");
            mirror_.ready = false;
            if (term_) end_term(*term_, "its mirror was lost");
            continue;
        }
        const auto events = reply && reply->status == 200 ? wire::parse_events(reply->body) : std::nullopt;
        if (!events) {
            co_await sleep_for(c::state_retry_s);
            continue;
        }
        const bool had_leader = mirror_.leader.has_value();
        mirror_.apply(*events, now());
        proof_.synced(sent);
        if (mirror_.leader) heard_token(mirror_.leader->value.token, mirror_.leader->value.node);
        if (had_leader && !mirror_.leader) term_event_.notify();
        if (term_) term_->dirty.notify();
        // Changes come in crowds; a short pause turns many answers into one. The leader hurries more.
        co_await sleep_for(term_ ? c::follow_gap_leader_s : gap_for(c::follow_share));
    }
}

net::awaitable<bool> Node::barrier() {
    if (!mirror_.ready) co_return false;
    // A check that started before this call proves nothing for it: wait for the next one.
    const auto wanted = barrier_started_ + 1;
    const double deadline = now() + c::state_timeout_s + 0.2;
    while (barrier_done_ < wanted) {
        if (barrier_running_) {
            if (now() > deadline) co_return false;
            co_await barrier_event_.wait(deadline - now() + 0.01);
            continue;
        }
        barrier_running_ = true;
        const double gap = barrier_sent_ + gap_for(c::barrier_share) - now();
        if (gap > 0) co_await sleep_for(gap);  // others arrive meanwhile and share the check
        const auto number = ++barrier_started_;
        const double sent = barrier_sent_ = now();
        const auto reply = co_await state("GET", wire::follow_target(records::all_prefix, mirror_.epoch, 0));
        const auto events =
            mirror_.ready && reply && reply->status == 200 ? wire::parse_events(reply->body) : std::nullopt;
        if (events) {
            mirror_.apply(*events, now());
            proof_.synced(sent);
            if (mirror_.leader) heard_token(mirror_.leader->value.token, mirror_.leader->value.node);
        }
        barrier_ok_ = events.has_value();
        barrier_done_ = number;
        barrier_running_ = false;
        barrier_event_.notify();
        if (number >= wanted) co_return barrier_ok_;
    }
    co_return barrier_ok_;
}

// --- mesh --------------------------------------------------------------------------------------------------

void Node::heard_token(std::uint64_t token, const std::string& from) {
    if (token > heard_token_) {
        heard_token_ = token;
        heard_leader_ = from;
    }
    if (term_ && !term_->over && token > term_->token) end_term(*term_, "a newer term exists");
}

wire::Gossip Node::gossip() const {
    auto ms = [](double s) { return static_cast<std::uint64_t>(std::max(0.0, s) * 1000); };
    wire::Gossip g;
    g.node = settings_.name;
    g.token = term_ && !term_->over ? std::max(term_->token, heard_token_) : heard_token_;
    g.leader = heard_leader_;
    g.up_ms = ms(now() - started_);
    g.state_age_ms = state_contact_ < 0 ? g.up_ms : ms(now() - state_contact_);
    g.report_age_ms = reported_ < 0 ? g.up_ms : ms(now() - reported_);
    g.epoch = mirror_.ready ? mirror_.epoch : 0;
    g.format = record_format_;
    g.asked_to_depend = asked_to_depend_;
    return g;
}

net::awaitable<Reply> Node::mesh(net::Request r) {
    if (r.target != wire::gossip_path) co_return Reply{404, {}};
    if (r.method != "POST") co_return Reply{405, {}};
    const auto g = wire::parse_gossip(r.body);
    if (!g) co_return Reply{400, {}};
    // May have been held back on the way: only what can't become untrue is taken from it.
    heard_token(g->token, g->leader);
    for (const auto& [revision, id] : g->cancelled)
        mirror_.learn_final(id, {model::Final::cancelled}, revision);
    heard_question(*g);
    auto answer = gossip();
    if (auto known = mirror_.cancellations().above(g->epoch)) {
        answer.vouches = true;
        answer.cancelled = std::move(*known);
    }
    co_return Reply{200, wire::gossip_bytes(answer)};
}

void Node::heard_question(const wire::Gossip& question) {
    asked_to_depend_ |= question.asked_to_depend;
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
        if (settings_.peers[i].name != question.node) continue;
        peers_[i].question_at = now();
        peers_[i].reads_format |= question.format >= records::format;
    }
}

net::awaitable<void> Node::gossip_loop(std::size_t peer) {
    for (;;) {
        const double sent = now();
        const auto reply = co_await peer_clients_[peer]->request(
            "POST", std::string(wire::gossip_path), wire::gossip_bytes(gossip()), c::gossip_timeout_s);
        if (reply && reply->status == 200)
            if (auto g = wire::parse_gossip(reply->body)) heard_gossip(peer, sent, std::move(*g));
        co_await sleep_for(c::gossip_period_s);
    }
}

// The leader's watch tells it a moment later, or, while the state service refuses it alone, the next round of
// gossip: in between it would start tasks of a job whose user was told. A courtesy with a short wait, no
// proof.
net::awaitable<void> Node::announce(std::uint64_t revision, std::string job) {
    if (!mirror_.leader) co_return;
    for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
        if (settings_.peers[i].name != mirror_.leader->value.node) continue;
        auto g = gossip();
        g.cancelled.emplace_back(revision, std::move(job));
        const auto body = wire::gossip_bytes(g);
        co_await peer_clients_[i]->request("POST", std::string(wire::gossip_path), body,
                                           c::announce_timeout_s);
        co_return;
    }
}

// What a peer names is known here from now on, and passed on, before it counts as a proof.
void Node::heard_gossip(std::size_t peer, double sent, wire::Gossip answer) {
    heard_token(answer.token, answer.leader);
    for (const auto& [revision, id] : answer.cancelled)
        mirror_.learn_final(id, {model::Final::cancelled}, revision);
    PeerView& view = peers_[peer];
    view.heard_at = sent;
    view.answered_at = now();
    view.reads_format |= answer.format >= records::format;
    asked_to_depend_ |= answer.asked_to_depend;
    view.last = std::move(answer);
    std::vector<Proof::Peer> proofs;
    for (const auto& p : peers_)
        proofs.push_back(
            {p.heard_at, p.answered_at, static_cast<double>(p.last.up_ms) / 1000.0, p.last.vouches});
    proof_.confirmed_by(proofs);
}

// Every peer answers, and none was served since this node is refused.
bool Node::whole_outage() const {
    return std::all_of(peers_.begin(), peers_.end(), [&](const PeerView& p) {
        return p.heard_at >= now() - c::peer_fresh_s &&
               !Proof::served_elsewhere(now(), refused_, p.contact());
    });
}

net::awaitable<void> Node::dependency_loop() {
    for (;;) {
        if (mirror_.ready) co_await resolve(mirror_.dependencies().unresolved());
        co_await sleep_for(c::dependency_period_s);
    }
}

// Measures how late the event loop runs: the sign of too little processor time.
net::awaitable<void> Node::lag_loop() {
    for (;;) {
        const double due = now() + c::lag_period_s;
        co_await sleep_for(c::lag_period_s);
        const double late = std::max(0.0, now() - due);
        lag_s_ = late > lag_s_ ? late : 0.8 * lag_s_ + 0.2 * late;
    }
}

void run(const config::Settings& settings, const config::Tuning& tuning) {
    net::asio::io_context io(1);
    const auto body_max = static_cast<std::size_t>(settings.memory_mb * 1024 * 1024 * c::answer_memory_share);
    const auto connect = [&io, body_max](const config::Endpoint& to) -> std::unique_ptr<net::Client> {
        return std::make_unique<net::HttpClient>(io.get_executor(), to, body_max);
    };
    Node node(io, settings, tuning, connect, std::random_device{}());
    node.start();
    io.run();
}

}  // namespace pineroad::control
