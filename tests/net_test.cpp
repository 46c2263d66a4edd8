// The HTTP server at its connection and body limits, over loopback, and the allocation of sockets.
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <tuple>

#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/socket_budget.hpp"

namespace pineroad::test {
namespace {

using net::Request;
using net::Response;

// A server with the given limits, and clients that each keep one connection to it.
class ServerWithClients {
   public:
    explicit ServerWithClients(net::HttpServer::Limits limits)
        : server_(io_.get_executor(), {"127.0.0.1", 0}, std::move(limits),
                  [](Request request) -> net::awaitable<Response> {
                      Response response{200, "{}"};
                      if (request.target == "/large") response.body.assign(5000, ' ');
                      co_return response;
                  }) {
        server_.start();
    }
    std::unique_ptr<net::HttpClient> make_client() {
        return std::make_unique<net::HttpClient>(io_.get_executor(),
                                                 config::Endpoint{"127.0.0.1", server_.port()}, 4000);
    }
    std::optional<Response> send_request(net::HttpClient& client, const std::string& target) {
        std::optional<Response> response;
        bool completed = false;
        net::asio::co_spawn(
            io_,
            [&]() -> net::awaitable<void> {
                response = co_await client.request("GET", target, {}, 10);
                completed = true;
            },
            net::asio::detached);
        while (!completed) io_.run_one();
        return response;
    }

   private:
    net::asio::io_context io_;
    net::HttpServer server_;
};

net::HttpServer::Limits small_limits() {
    net::HttpServer::Limits limits;
    limits.max_connections = 5, limits.max_ordinary_connections = 2;
    limits.first_request_timeout_s = limits.prioritized_idle_timeout_s = limits.ordinary_idle_timeout_s = 60;
    limits.is_prioritized = [](const std::string& target) { return target == "/checkin"; };
    return limits;
}

// Guards against users who take every connection. Users and workers once shared one limit, which was below
// the number of machines in a run with 1.5 times the usual number: new machines found no connection and were
// released one after the other.
TEST(Server, UsersCannotTakeTheConnectionsOfWorkers) {
    ServerWithClients server(small_limits());
    std::vector<std::unique_ptr<net::HttpClient>> users, workers;
    for (int i = 0; i < 4; ++i) users.push_back(server.make_client());
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(server.send_request(*users[static_cast<std::size_t>(i)], "/submissions/j-1")->status, 200);
    for (std::size_t i = 2; i < 4; ++i)
        EXPECT_EQ(server.send_request(*users[i], "/submissions/j-1")->status, 503);
    for (int i = 0; i < 3; ++i) workers.push_back(server.make_client());
    for (auto& worker : workers) EXPECT_EQ(server.send_request(*worker, "/checkin")->status, 200);
    EXPECT_EQ(server.send_request(*users[0], "/submissions/j-1")->status, 200);  // an open connection is kept
    users.erase(users.begin());
    // Lets the server notice the closed connection.
    EXPECT_EQ(server.send_request(*workers[0], "/checkin")->status, 200);
    while (server.send_request(*users[2], "/submissions/j-1")->status != 200) {
    }
}

TEST(Server, ConnectionsBeyondTheLimitAreRefused) {
    ServerWithClients server(small_limits());
    std::vector<std::unique_ptr<net::HttpClient>> workers;
    for (int i = 0; i < 6; ++i) workers.push_back(server.make_client());
    for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(server.send_request(*workers[i], "/checkin")->status, 200);
    EXPECT_FALSE(server.send_request(*workers[5], "/checkin"));
}

// After a long partition, a watch response may be larger than memory allows. The client reports it as too
// large, which differs from no response.
TEST(Server, OversizedResponseIsReportedAsTooLarge) {
    ServerWithClients server(small_limits());
    const auto client = server.make_client();
    EXPECT_FALSE(server.send_request(*client, "/checkin")->too_large);
    EXPECT_TRUE(server.send_request(*client, "/large")->too_large);
    EXPECT_EQ(server.send_request(*client, "/checkin")->status, 200);
}

// The shares depend only on the platform's socket limit and the number of peers. None is empty, and their sum
// stays below the limit.
class SocketBudget : public ::testing::TestWithParam<std::tuple<int, std::size_t>> {};

TEST_P(SocketBudget, SharesStayBelowTheLimit) {
    const auto [max_sockets, peers] = GetParam();
    config::Settings settings;
    settings.max_sockets = max_sockets;
    settings.peers.resize(peers);
    const auto shares = net::allocate_sockets(settings);
    EXPECT_GE(shares.workers(), 2U);
    EXPECT_GE(shares.users, 2U);
    EXPECT_GE(shares.peer_api, 1U);
    EXPECT_GE(shares.direct_commands, 1U);
    EXPECT_LT(shares.public_api + shares.peer_api + shares.direct_commands,
              static_cast<std::size_t>(max_sockets));
}

INSTANTIATE_TEST_SUITE_P(Limits, SocketBudget,
                         ::testing::Combine(::testing::Values(32, 200, 3362, 3504, 100000),
                                            ::testing::Values(0U, 2U, 4U)),
                         [](const auto& info) {
                             return std::to_string(std::get<0>(info.param)) + "SocketsWith" +
                                    std::to_string(std::get<1>(info.param)) + "Peers";
                         });

TEST(Server, WorkersGetMostSockets) {
    config::Settings settings;
    settings.max_sockets = 3362;
    settings.peers.resize(2);
    // One socket for every machine of a deployment 1.5 times as large.
    EXPECT_GT(net::allocate_sockets(settings).workers(), 2090U);
}

}  // namespace
}  // namespace pineroad::test
