#include "api/worker_api.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <variant>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/protocol.hpp"

namespace pineroad::api {

namespace c = constants;
using net::Response;
using store::steady_now_s;

namespace {

// Returns until when the response may be held. A start may be sent only once its placement is durable and
// only in a heartbeat response, so a short wait can save a whole heartbeat period. A machine with free
// capacity can wait longer than one that reports exited tasks. The worker drops a response after 4 s.
double response_deadline(const cluster::ClusterState& cluster_state, const model::Heartbeat& heartbeat,
                         double now) {
    if (cluster_state.has_free_capacity(heartbeat.machine, now)) return now + c::heartbeat_hold_idle_s;
    const bool has_exited_task =
        std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                    [](const model::ReportedTask& task) { return task.state == model::TaskState::exited; });
    if (has_exited_task || !cluster_state.placements_durable(heartbeat.machine))
        return now + c::heartbeat_hold_s;
    return now;
}

// Returns whether no later heartbeat of the machine was applied.
bool is_latest(const cluster::ClusterState& cluster_state, const model::Heartbeat& heartbeat) {
    const auto machine = cluster_state.machines().find(heartbeat.machine);
    return machine != cluster_state.machines().end() &&
           machine->second.agent_epoch == heartbeat.agent_epoch &&
           machine->second.sequence == heartbeat.sequence;
}

}  // namespace

WorkerApi::WorkerApi(std::string name, const Dependencies& dependencies)
    : name_(std::move(name)), dependencies_(dependencies) {}

net::awaitable<Response> WorkerApi::heartbeat(std::string body) {
    const auto parsed = wire::parse_heartbeat(body);
    if (!parsed) co_return Response{400, wire::error_response(parsed.error().message())};
    const auto& heartbeat = *parsed;
    dependencies_.leadership.observe_reported_token(heartbeat.fencing_token, "");
    const auto leader = dependencies_.active_term;
    if (!leader || !leader->term->may_respond_to_heartbeats()) {
        dependencies_.peers.record_heartbeat();
        co_return redirect();
    }
    auto& term = *leader->term;
    auto& cluster_state = leader->cluster_state;
    // A duplicate of an earlier heartbeat carries no information, not even that the worker is alive. No
    // worker waits for this response, and it carries no commands, so it must not renew a lease.
    if (!cluster_state.apply_heartbeat(heartbeat, steady_now_s()))
        co_return Response{503, wire::error_response("an older report")};
    dependencies_.peers.record_heartbeat();
    term.plan_due.notify();
    const double deadline = response_deadline(cluster_state, heartbeat, steady_now_s());
    while (term.may_start_tasks() && is_latest(cluster_state, heartbeat) && steady_now_s() < deadline &&
           !cluster_state.has_pending_commands(heartbeat.machine) &&
           dependencies_.event_loop_lag.lag_s() < c::max_lag_for_hold_s) {
        const double wait_s = std::max(deadline - steady_now_s(), c::min_wait_s);
        net::Timer timer(dependencies_.executor, net::seconds(wait_s));
        const leadership::HeldResponses::Hold hold(term.held_responses, heartbeat.machine, timer);
        co_await timer.async_wait(net::asio::as_tuple(net::asio::use_awaitable));
    }
    if (!term.may_respond_to_heartbeats()) co_return redirect();
    // If the worker has abandoned this heartbeat and sent another, it does not wait for this response:
    // commands in the response must not count as sent, and a response without them must not renew a lease.
    if (!is_latest(cluster_state, heartbeat))
        co_return Response{503, wire::error_response("a newer report came meanwhile")};
    const auto commands =
        cluster_state.commands_for(heartbeat.machine, term.may_start_tasks(), steady_now_s());
    co_return Response{200, wire::heartbeat_response(term.fencing_token(), commands)};
}

// The watch cache of a controller that is cut off from the store may hold an old leader, while a peer may
// have reported a newer one.
Response WorkerApi::redirect() const {
    const auto& recorded_leader = dependencies_.watch_cache.leader;
    const auto& leadership = dependencies_.leadership;
    const bool current =
        recorded_leader && recorded_leader->value.fencing_token >= leadership.highest_token();
    const auto& leader = current ? recorded_leader->value.node : leadership.known_leader();
    return Response{421, wire::redirect_response(leader == name_ ? "" : leader)};
}

}  // namespace pineroad::api
