// The HTTP server at its limits, over loopback, and how sockets are shared out.
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

using net::Reply;
using net::Request;

// A server with few connections, and clients that each keep one.
class AtTheLimit {
   public:
    explicit AtTheLimit(net::HttpServer::Limits limits)
        : server_(io_.get_executor(), {"127.0.0.1", 0}, std::move(limits),
                  [](Request r) -> net::awaitable<Reply> {
                      Reply reply{200, "{}"};
                      if (r.target == "/large") reply.body.assign(5000, ' ');
                      co_return reply;
                  }) {
        server_.start();
    }
    std::unique_ptr<net::HttpClient> client() {
        return std::make_unique<net::HttpClient>(io_.get_executor(),
                                                 config::Endpoint{"127.0.0.1", server_.port()}, 4000);
    }
    std::optional<Reply> ask(net::HttpClient& c, const std::string& target) {
        std::optional<Reply> out;
        bool answered = false;
        net::asio::co_spawn(
            io_,
            [&]() -> net::awaitable<void> {
                out = co_await c.request("GET", target, {}, 10);
                answered = true;
            },
            net::asio::detached);
        while (!answered) io_.run_one();
        return out;
    }

   private:
    net::asio::io_context io_;
    net::HttpServer server_;
};

net::HttpServer::Limits few() {
    net::HttpServer::Limits l;
    l.connections = 5, l.max_ordinary_connections = 2;
    l.first_request_timeout_s = l.prioritized_idle_timeout_s = l.ordinary_idle_timeout_s = 60;
    l.is_prioritized = [](const std::string& target) { return target == "/checkin"; };
    return l;
}

// Found by a day with half as many machines again: users and workers shared one limit below the number of
// machines, so that new machines found no connection and were returned, one after the other.
TEST(Server, UsersLeaveRoomForReports) {
    AtTheLimit s(few());
    std::vector<std::unique_ptr<net::HttpClient>> users, workers;
    for (int i = 0; i < 4; ++i) users.push_back(s.client());
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(s.ask(*users[static_cast<std::size_t>(i)], "/submissions/j-1")->status, 200);
    for (std::size_t i = 2; i < 4; ++i) EXPECT_EQ(s.ask(*users[i], "/submissions/j-1")->status, 503);
    for (int i = 0; i < 3; ++i) workers.push_back(s.client());
    for (auto& w : workers) EXPECT_EQ(s.ask(*w, "/checkin")->status, 200);
    EXPECT_EQ(s.ask(*users[0], "/submissions/j-1")->status, 200);  // who has one keeps it
    users.erase(users.begin());
    EXPECT_EQ(s.ask(*workers[0], "/checkin")->status, 200);  // meanwhile the server learns of the end
    while (s.ask(*users[2], "/submissions/j-1")->status != 200) {
    }
}

TEST(Server, NobodyIsServedBeyondTheLimit) {
    AtTheLimit s(few());
    std::vector<std::unique_ptr<net::HttpClient>> workers;
    for (int i = 0; i < 6; ++i) workers.push_back(s.client());
    for (std::size_t i = 0; i < 5; ++i) EXPECT_EQ(s.ask(*workers[i], "/checkin")->status, 200);
    EXPECT_FALSE(s.ask(*workers[5], "/checkin"));
}

// A watch after a long partition may hold more than memory does: such an answer differs from none.
TEST(Server, AnswersAreBounded) {
    AtTheLimit s(few());
    const auto c = s.client();
    EXPECT_FALSE(s.ask(*c, "/checkin")->too_large);
    EXPECT_TRUE(s.ask(*c, "/large")->too_large);
    EXPECT_EQ(s.ask(*c, "/checkin")->status, 200);
}

// Shares come from the platform's limit alone; none is empty, and together they stay below it.
class SocketBudget : public ::testing::TestWithParam<std::tuple<int, std::size_t>> {};

TEST_P(SocketBudget, StayBelowTheLimit) {
    const auto [all, peers] = GetParam();
    config::Settings s;
    s.max_sockets = all;
    s.peers.resize(peers);
    const auto shares = net::allocate_sockets(s);
    EXPECT_GE(shares.workers(), 2U);
    EXPECT_GE(shares.users, 2U);
    EXPECT_GE(shares.peer_api, 1U);
    EXPECT_GE(shares.direct_commands, 1U);
    EXPECT_LT(shares.public_api + shares.peer_api + shares.direct_commands, static_cast<std::size_t>(all));
}

INSTANTIATE_TEST_SUITE_P(Limits, SocketBudget,
                         ::testing::Combine(::testing::Values(32, 200, 3362, 3504, 100000),
                                            ::testing::Values(0U, 2U, 4U)),
                         [](const auto& info) {
                             return std::to_string(std::get<0>(info.param)) + "SocketsWith" +
                                    std::to_string(std::get<1>(info.param)) + "Peers";
                         });

TEST(Server, WorkersGetMostSockets) {
    config::Settings s;
    s.max_sockets = 3362;
    s.peers.resize(2);
    EXPECT_GT(net::allocate_sockets(s).workers(),
              2090U);  // every machine of a deployment half as large again
}

}  // namespace
}  // namespace pineroad::test
