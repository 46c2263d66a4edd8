// Sends stop commands directly to workers. The same stop is repeated in the following heartbeat responses
// until a heartbeat confirms it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include "cluster/cluster_state.hpp"
#include "config/settings.hpp"
#include "leadership/term.hpp"
#include "net/http.hpp"
#include "net/scoped_count.hpp"

namespace pineroad::controller {

// Sends direct commands, with a limit on concurrent requests: a planning round that stops hundreds of tasks,
// or hundreds of machines that do not respond, must not use up the sockets that workers need for heartbeats.
class DirectCommandDispatcher : public std::enable_shared_from_this<DirectCommandDispatcher> {
   public:
    // References and limits that the dispatcher uses. All references must outlive it.
    struct Dependencies {
        net::asio::io_context& io;
        const net::ClientFactory& client_factory;
        const config::Settings& settings;
        std::size_t max_in_flight;  // concurrent requests, one per machine
    };
    // Dispatches the commands of one term. The object must be owned by a shared_ptr: requests in flight keep
    // it alive.
    DirectCommandDispatcher(std::shared_ptr<leadership::Term> term, const Dependencies& dependencies);

    // Queues the commands and sends as many as the limit allows. Commands with a grace period go first.
    void dispatch(std::vector<cluster::DirectCommands> commands);

   private:
    // Commands to one machine, and when they were queued.
    struct QueuedCommands {
        double queued_at = 0;
        cluster::DirectCommands commands;
    };
    // Sends queued commands up to the concurrency limit; drops those that have waited too long.
    void send_queued();
    // Sends commands to one worker, then continues with the queue. `self` keeps the dispatcher alive.
    net::awaitable<void> send(std::shared_ptr<DirectCommandDispatcher> self,
                              std::unique_ptr<net::ScopedCount> in_flight_count,
                              cluster::DirectCommands commands);
    // Sends commands to one worker. Throws if the worker's address is invalid.
    net::awaitable<void> send_to_worker(const cluster::DirectCommands& commands);

    const std::shared_ptr<leadership::Term> term_;
    const Dependencies dependencies_;
    const double max_queue_time_s_;
    std::deque<QueuedCommands> queue_;
    std::size_t in_flight_ = 0;
};

}  // namespace pineroad::controller
