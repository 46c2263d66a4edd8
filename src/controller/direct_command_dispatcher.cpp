#include "controller/direct_command_dispatcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>
#include <string>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/protocol.hpp"

namespace pineroad::controller {

namespace c = constants;
using store::steady_now_s;

namespace {

// Returns whether the commands give a task time to save its state. Such commands are urgent, because the
// task's gang waits for it only for gang_failure_detection_s.
bool has_grace_period(const cluster::DirectCommands& commands) {
    return std::any_of(commands.commands.begin(), commands.commands.end(),
                       [](const model::Command& command) { return command.grace_s > 0; });
}

}  // namespace

// Commands that were queued for longer than gang_failure_detection_s plus a heartbeat period are dropped: the
// heartbeat responses carry the same stops.
DirectCommandDispatcher::DirectCommandDispatcher(std::shared_ptr<leadership::Term> term,
                                                 const Dependencies& dependencies)
    : term_(std::move(term)),
      dependencies_(dependencies),
      max_queue_time_s_(dependencies.settings.gang_failure_detection_s +
                        dependencies.settings.heartbeat_period_s) {}

void DirectCommandDispatcher::dispatch(std::vector<cluster::DirectCommands> commands) {
    for (auto& machine_commands : commands) {
        const bool has_priority = has_grace_period(machine_commands);
        QueuedCommands queued{steady_now_s(), std::move(machine_commands)};
        if (has_priority)
            queue_.push_front(std::move(queued));
        else
            queue_.push_back(std::move(queued));
    }
    while (queue_.size() > c::max_queued_direct_commands) queue_.pop_back();
    send_queued();
}

// A stop requires no valid lease: it carries the fencing token and the agent epoch, and stops only tasks that
// must stop in any case. While the store is unreachable these are the tasks of cancelled jobs.
void DirectCommandDispatcher::send_queued() {
    if (term_->ended()) queue_.clear();
    while (!queue_.empty() && in_flight_ < dependencies_.max_in_flight) {
        auto next = std::move(queue_.front());
        queue_.pop_front();
        if (steady_now_s() - next.queued_at > max_queue_time_s_) continue;
        auto in_flight_count = std::make_unique<net::ScopedCount>(in_flight_);
        net::asio::co_spawn(dependencies_.io,
                            send(shared_from_this(), std::move(in_flight_count), std::move(next.commands)),
                            net::asio::detached);
    }
}

net::awaitable<void> DirectCommandDispatcher::send(std::shared_ptr<DirectCommandDispatcher> self,
                                                   std::unique_ptr<net::ScopedCount> in_flight_count,
                                                   cluster::DirectCommands commands) {
    try {
        co_await self->send_to_worker(commands);
    } catch (const std::exception& error) {
        spdlog::warn("direct commands to {} ({}) failed: {}", commands.machine, commands.address,
                     error.what());
    }
    in_flight_count.reset();
    self->send_queued();
}

net::awaitable<void> DirectCommandDispatcher::send_to_worker(const cluster::DirectCommands& commands) {
    const auto worker = dependencies_.client_factory(config::parse_endpoint(commands.address));
    const auto response = co_await worker->request(
        "POST", std::string(wire::direct_command_path),
        wire::direct_command_request(term_->fencing_token(), commands.agent_epoch, commands.commands),
        c::direct_command_timeout_s);
    spdlog::debug("direct commands to {}: {}", commands.machine, response ? response->status : 0);
}

}  // namespace pineroad::controller
