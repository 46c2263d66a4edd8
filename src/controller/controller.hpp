// One controller: wires its parts together, serves users, workers and peers, and owns the lifetime of the
// loops that bring what is into line with what is wanted.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "net/http.hpp"
#include "wire/records.hpp"

namespace pineroad::controller {

// A controller of the platform.
class Controller {
   public:
    // `connect` makes the clients of all others, `seed` determines every random choice, and `record_format`
    // is the latest that this process is to read.
    Controller(net::asio::io_context& io, const config::Settings& settings, const config::Tuning& tuning,
               net::ClientFactory connect, std::uint64_t seed,
               std::uint64_t record_format = wire::records::record_format);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    // Starts the servers and the loops. Throws when an address can't be bound.
    void start();
    // Starts the loops alone: requests come by front() and mesh().
    void run_loops();
    // Answers a request of a user or a worker.
    net::awaitable<net::Reply> front(net::Request request);
    // Answers a request of a peer.
    net::awaitable<net::Reply> mesh(net::Request request);

   private:
    // All parts of a controller.
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

// Runs a controller until the process is killed.
void run(const config::Settings& settings, const config::Tuning& tuning);

}  // namespace pineroad::controller
