// One controller: connects its components, serves users, workers and peers, and owns the control loops that
// reconcile the actual state of the cluster with the desired state.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "net/http.hpp"
#include "wire/records.hpp"

namespace pineroad::controller {

// A controller of the cluster.
class Controller {
   public:
    // `client_factory` creates the HTTP clients, `seed` determines every random choice, and `record_format`
    // is the latest format of stored records that this process reads.
    Controller(net::asio::io_context& io, const config::Settings& settings, const config::Tuning& tuning,
               net::ClientFactory client_factory, std::uint64_t seed,
               std::uint64_t record_format = wire::records::record_format);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    // Starts the servers and the loops. Throws if an address can't be bound.
    void start();
    // Starts only the loops; requests are passed to handle_public_request() and handle_peer_request().
    void run_loops();
    // Handles a request from a user or a worker.
    net::awaitable<net::Response> handle_public_request(net::Request request);
    // Handles a request from a peer.
    net::awaitable<net::Response> handle_peer_request(net::Request request);

   private:
    // All components of a controller.
    struct Components;
    std::unique_ptr<Components> components_;
};

// Runs a controller until the process is killed.
void run(const config::Settings& settings, const config::Tuning& tuning);

}  // namespace pineroad::controller
