#include "net/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);
using SteadyClock = std::chrono::steady_clock;  // of the sockets' own timers

struct HttpClient::State {
    asio::any_io_executor executor;
    config::Endpoint to;
    std::size_t body_max;
    std::vector<std::unique_ptr<beast::tcp_stream>> idle;
    std::size_t open = 0;
    std::list<asio::steady_timer*> waiting;

    void release() {
        --open;
        if (!waiting.empty()) waiting.front()->cancel();
    }
};

HttpClient::HttpClient(asio::any_io_executor executor, config::Endpoint to, std::size_t body_max)
    : state_(std::make_shared<State>(State{std::move(executor), std::move(to), body_max, {}, 0, {}})) {}
HttpClient::~HttpClient() = default;

awaitable<std::optional<Reply>> HttpClient::request(std::string method, std::string target, std::string body,
                                                    double timeout_s) {
    const auto state = state_;
    const auto deadline = SteadyClock::now() + seconds(timeout_s);
    while (state->open >= constants::client_connections) {
        if (state->waiting.size() >= constants::client_queue || SteadyClock::now() >= deadline)
            co_return std::nullopt;
        asio::steady_timer timer(state->executor, deadline);
        const auto at = state->waiting.insert(state->waiting.end(), &timer);
        co_await timer.async_wait(tuple_awaitable);
        state->waiting.erase(at);
    }
    ++state->open;
    struct TaskPlacement {
        State& s;
        ~TaskPlacement() { s.release(); }
    } placement{*state};

    std::unique_ptr<beast::tcp_stream> stream;
    if (!state->idle.empty()) {
        stream = std::move(state->idle.back());
        state->idle.pop_back();
    } else {
        stream = std::make_unique<beast::tcp_stream>(state->executor);
        const auto connect_by = SteadyClock::now() + seconds(constants::connect_timeout_s);
        stream->expires_at(std::min(connect_by, deadline));
        auto [error] = co_await stream->async_connect(
            tcp::endpoint(asio::ip::make_address(state->to.host), state->to.port), tuple_awaitable);
        if (error) co_return std::nullopt;
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, state->to.text());
    if (!body.empty()) request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    stream->expires_at(deadline);
    auto [write_error, written] = co_await http::async_write(*stream, request, tuple_awaitable);
    // One dead connection speaks for the others that idle: after an outage the next request must not meet
    // them.
    if (write_error) {
        state->idle.clear();
        co_return std::nullopt;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(state->body_max);
    auto [read_error, read] = co_await http::async_read(*stream, buffer, parser, tuple_awaitable);
    if (read_error == http::error::body_limit) {
        Reply large;
        large.status = static_cast<int>(parser.get().result_int());
        large.too_large = true;
        co_return large;
    }
    if (read_error) {
        state->idle.clear();
        co_return std::nullopt;
    }
    auto response = parser.release();
    Reply reply;
    reply.status = static_cast<int>(response.result_int());
    reply.body = std::move(response.body());
    if (response.keep_alive() && state->idle.size() < constants::client_connections) {
        stream->expires_never();
        state->idle.push_back(std::move(stream));
    }
    co_return reply;
}

}  // namespace pineroad::net
