// Sends stops straight to workers; the same stop follows in the next responses until a heartbeat shows it
// done.
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

// Only so many commands at once are on their way: a planning round that stops hundreds of tasks, or hundreds
// of machines that hang, must not take the sockets that workers send heartbeats over.
class DirectCommandDispatcher : public std::enable_shared_from_this<DirectCommandDispatcher> {
   public:
    // What the dispatcher works with; all of it must outlive the dispatcher.
    struct Dependencies {
        net::asio::io_context& io;
        const net::ClientFactory& connect;
        const config::Settings& settings;
        std::size_t max_in_flight;  // machines
    };
    // Of one term. The object must be owned by a shared_ptr: what is on its way keeps it alive.
    DirectCommandDispatcher(std::shared_ptr<leadership::Term> term, const Dependencies& dependencies);

    // Queues the commands and sends as many as possible. Those with a grace period go first.
    void dispatch(std::vector<cluster::DirectCommands> commands);

   private:
    // Commands to one machine, and when they were decided.
    struct Queued {
        double decided_at = 0;
        cluster::DirectCommands commands;
    };
    // Sends what is queued while there is room; drops what has waited too long.
    void send_queued();
    // Sends to one worker, and then what waited for that. `self` keeps the dispatcher alive.
    net::awaitable<void> send(std::shared_ptr<DirectCommandDispatcher> self,
                              std::unique_ptr<net::ScopedCount> counted, cluster::DirectCommands commands);
    // Throws if the worker's address can't be used.
    net::awaitable<void> send_to_worker(const cluster::DirectCommands& commands);

    const std::shared_ptr<leadership::Term> term_;
    const Dependencies dependencies_;
    const double longest_wait_s_;
    std::deque<Queued> queue_;
    std::size_t in_flight_ = 0;
};

}  // namespace pineroad::controller
