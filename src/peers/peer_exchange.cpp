#include "peers/peer_exchange.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"

namespace pineroad::peers {

namespace c = constants;
using net::Response;
using store::steady_now_s;

PeerExchange::PeerExchange(std::string name, double started_at, const Dependencies& dependencies,
                           const net::ClientFactory& client_factory)
    : name_(std::move(name)),
      started_at_(started_at),
      store_(dependencies.store),
      watch_cache_(dependencies.watch_cache),
      lease_guard_(dependencies.lease_guard),
      leadership_(dependencies.leadership),
      directory_(dependencies.directory),
      record_format_tracker_(dependencies.record_format_tracker) {
    for (std::size_t i = 0; i < directory_.size(); ++i)
        clients_.push_back(client_factory(directory_.peer(i).endpoint));
}

void PeerExchange::record_heartbeat() {
    last_heartbeat_s_ = steady_now_s();
}

wire::PeerMessage PeerExchange::own_message() const {
    const double now = steady_now_s();
    // Returns the age of an event; an event that never happened is as old as the process.
    const auto age_ms = [&](double event) {
        const double since = event < 0 ? started_at_ : event;
        return static_cast<std::uint64_t>(std::max(0.0, now - since) * 1000);
    };
    wire::PeerMessage message;
    message.node = name_;
    message.fencing_token = leadership_.advertised_token();
    message.leader = leadership_.known_leader();
    message.uptime_ms = age_ms(started_at_);
    message.store_contact_age_ms = age_ms(store_.last_contact_s());
    message.heartbeat_age_ms = age_ms(last_heartbeat_s_);
    message.revision = watch_cache_.ready ? watch_cache_.revision : 0;
    message.record_format = record_format_tracker_.own_format();
    message.dependencies_requested = record_format_tracker_.dependencies_requested();
    return message;
}

net::awaitable<Response> PeerExchange::handle(net::Request request) {
    if (request.target != wire::peer_message_path) co_return Response{404, {}};
    if (request.method != "POST") co_return Response{405, {}};
    const auto message = wire::parse_peer_message(request.body);
    if (!message) co_return Response{400, {}};
    // The request may have been delayed in transit: use only information that cannot become outdated.
    leadership_.observe_reported_token(message->fencing_token, message->leader);
    record_cancellations(*message);
    if (message->dependencies_requested) record_format_tracker_.record_dependency_request();
    directory_.record_request(*message);
    auto response = own_message();
    if (auto cancellations = watch_cache_.cancellations().entries_after(message->revision)) {
        response.confirms_cancellations = true;
        response.cancelled = std::move(*cancellations);
    }
    co_return Response{200, wire::encode_peer_message(response)};
}

net::awaitable<void> PeerExchange::run(std::size_t peer) {
    for (;;) {
        const double sent_at = steady_now_s();
        const auto http_response = co_await clients_[peer]->request(
            "POST", std::string(wire::peer_message_path), wire::encode_peer_message(own_message()),
            c::peer_message_timeout_s);
        if (http_response && http_response->status == 200)
            if (auto response = wire::parse_peer_message(http_response->body))
                apply_response(peer, sent_at, std::move(*response));
        co_await net::sleep_for(c::peer_message_period_s);
    }
}

// Without this message the leader learns of the cancellation from its watch a moment later, or, while the
// store refuses only the leader, from the next periodic peer message. Until then it could start tasks of a
// job whose cancellation was already confirmed to the user. This is best effort with a short timeout and
// guarantees nothing.
net::awaitable<void> PeerExchange::forward_cancellation(std::uint64_t revision, std::string job) {
    if (!watch_cache_.leader) co_return;
    const auto leader = directory_.find(watch_cache_.leader->value.node);
    if (!leader) co_return;
    auto message = own_message();
    message.cancelled.emplace_back(revision, std::move(job));
    const auto body = wire::encode_peer_message(message);
    co_await clients_[*leader]->request("POST", std::string(wire::peer_message_path), body,
                                        c::forward_cancellation_timeout_s);
}

void PeerExchange::record_cancellations(const wire::PeerMessage& message) {
    for (const auto& [revision, job] : message.cancelled)
        watch_cache_.record_outcome(job, {model::FinalStatus::cancelled}, revision);
}

// Records the cancellations in the response, which also applies them to the cluster state of a leader, before
// the response counts as a confirmation.
void PeerExchange::apply_response(std::size_t peer, double sent_at, wire::PeerMessage response) {
    leadership_.observe_reported_token(response.fencing_token, response.leader);
    record_cancellations(response);
    if (response.dependencies_requested) record_format_tracker_.record_dependency_request();
    directory_.record_response(peer, sent_at, std::move(response));
    lease_guard_.apply_peer_confirmations(directory_.confirmations());
}

}  // namespace pineroad::peers
