#include "net/http_server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "config/constants.hpp"
#include "net/scoped_count.hpp"

namespace pineroad::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);

awaitable<void> sleep_for(double s) {
    Timer timer(co_await asio::this_coro::executor, seconds(s));
    co_await timer.async_wait(tuple_awaitable);
}

struct HttpServer::State {
    tcp::acceptor acceptor;
    config::Endpoint at;
    Limits limits;
    Handler handler;
    std::size_t open = 0, ordinary = 0;
};

namespace {

http::response<http::string_body> to_response(Reply reply, bool keep_alive) {
    http::response<http::string_body> r{static_cast<http::status>(reply.status), 11};
    r.set(http::field::content_type, "application/json");
    if (reply.retry_after_s > 0) r.set(http::field::retry_after, std::to_string(reply.retry_after_s));
    r.body() = std::move(reply.body);
    r.keep_alive(keep_alive && !reply.close);
    r.prepare_payload();
    return r;
}

// Serves one connection. The idle wait covers the first byte; a slow or endless body meets its own timeout.
awaitable<void> serve(tcp::socket socket, const HttpServer::Limits& limits, std::size_t& ordinary_count,
                      const HttpServer::Handler& handler) {
    std::optional<ScopedCount> ordinary;  // counts it among the users' connections
    double idle_s = limits.first_request_s;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(2 * constants::max_body);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(constants::max_body);
        stream.expires_after(seconds(idle_s));
        auto [head_error, head_size] =
            co_await http::async_read_header(stream, buffer, parser, tuple_awaitable);
        if (head_error) {
            // Only a parser's complaint gets an answer; a gone or silent peer gets none.
            if (head_error.category() != http::make_error_code(http::error::end_of_stream).category() ||
                head_error == http::error::end_of_stream || head_error == http::error::partial_message)
                break;
            const bool large = head_error == http::error::body_limit;
            auto response = to_response(
                {400, large ? R"({"error":"body too large"})" : R"({"error":"malformed request"})", 0, true},
                false);
            stream.expires_after(seconds(constants::write_timeout_s));
            co_await http::async_write(stream, response, tuple_awaitable);
            break;
        }
        stream.expires_after(seconds(constants::body_timeout_s));
        if (!parser.is_done()) {
            auto [body_error, body_size] = co_await http::async_read(stream, buffer, parser, tuple_awaitable);
            if (body_error == http::error::body_limit) {
                auto response = to_response({400, R"({"error":"body too large"})", 0, true}, false);
                co_await http::async_write(stream, response, tuple_awaitable);
                break;
            }
            if (body_error) break;
        }
        auto message = parser.release();
        const bool keep_alive = message.keep_alive();
        stream.expires_never();
        // A named object: GCC 12 destroys a braced temporary twice inside a co_await expression.
        Request request{std::string(message.method_string()), std::string(message.target()),
                        std::move(message.body())};
        // A connection is of the class of its latest request.
        bool refused = false;
        if (limits.prioritized(request.target))
            ordinary.reset();
        else if (!ordinary && !(refused = ordinary_count >= limits.ordinary))
            ordinary.emplace(ordinary_count);
        idle_s = ordinary ? limits.ordinary_idle_s : limits.prioritized_idle_s;
        Reply reply;
        if (refused)
            reply = limits.full();
        else
            reply = co_await handler(std::move(request));
        auto response = to_response(std::move(reply), keep_alive);
        const bool stay = response.keep_alive();
        stream.expires_after(seconds(constants::write_timeout_s));
        auto [write_error, written] = co_await http::async_write(stream, response, tuple_awaitable);
        if (write_error || !stay) break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

}  // namespace

HttpServer::HttpServer(const asio::any_io_executor& executor, config::Endpoint at, Limits limits,
                       Handler handler)
    : state_(std::make_shared<State>(
          State{tcp::acceptor(executor), std::move(at), std::move(limits), std::move(handler), 0, 0})) {}

std::uint16_t HttpServer::port() const {
    return state_->acceptor.local_endpoint().port();
}

void HttpServer::start() {
    const tcp::endpoint endpoint(asio::ip::make_address(state_->at.host), state_->at.port);
    state_->acceptor.open(endpoint.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(endpoint);
    state_->acceptor.listen(constants::accept_backlog);
    asio::co_spawn(state_->acceptor.get_executor(), accept(state_), asio::detached);
}

awaitable<void> HttpServer::accept(std::shared_ptr<State> state) {
    for (;;) {
        auto [error, socket] = co_await state->acceptor.async_accept(tuple_awaitable);
        if (error) {
            spdlog::warn("accept on {} failed: {}", state->at.text(), error.message());
            co_await sleep_for(constants::accept_pause_s);
            continue;
        }
        if (state->open >= state->limits.connections) {
            // Closed at once rather than queued: the balancer turns to another node.
            boost::system::error_code ignored;
            socket.close(ignored);
            continue;
        }
        ++state->open;
        asio::co_spawn(
            state->acceptor.get_executor(),
            [state, s = std::move(socket)]() mutable -> awaitable<void> {
                try {
                    co_await serve(std::move(s), state->limits, state->ordinary, state->handler);
                } catch (const std::exception& e) {
                    spdlog::error("connection failed: {}", e.what());
                }
                --state->open;
            },
            asio::detached);
    }
}

}  // namespace pineroad::net
