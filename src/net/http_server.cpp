#include "net/http_server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "config/constants.hpp"
#include "net/scoped_count.hpp"

namespace pineroad::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

// State shared by the server and its connections.
struct HttpServer::State {
    tcp::acceptor acceptor;
    config::Endpoint endpoint;
    Limits limits;
    Handler handler;
    std::size_t connections = 0, ordinary_connections = 0;
};

namespace {

using HttpResponse = http::response<http::string_body>;

HttpResponse to_http_response(Response response, bool keep_alive) {
    HttpResponse http_response{static_cast<http::status>(response.status), 11};
    http_response.set(http::field::content_type, "application/json");
    if (response.retry_after_s > 0)
        http_response.set(http::field::retry_after, std::to_string(response.retry_after_s));
    http_response.body() = std::move(response.body);
    http_response.keep_alive(keep_alive && !response.close);
    http_response.prepare_payload();
    return http_response;
}

// Returns whether the error is a parse error, which is reported to the client. If the client closed the
// connection or timed out, there is nobody to report it to.
bool is_malformed(const boost::system::error_code& error) {
    return error.category() == http::make_error_code(http::error::end_of_stream).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

// Sends an error response to a request that could not be read. The caller sets the stream's timeout before
// and closes the connection afterwards.
awaitable<void> reject(beast::tcp_stream& stream, const boost::system::error_code& error) {
    const bool body_too_large = error == http::error::body_limit;
    const char* const body =
        body_too_large ? R"({"error":"body too large"})" : R"({"error":"malformed request"})";
    Response response{400, body, 0, true};
    const auto http_response = to_http_response(std::move(response), false);
    co_await http::async_write(stream, http_response, use_nothrow_awaitable);
}

// Tracks whether a connection is prioritized or ordinary, and counts it while it is ordinary.
class ConnectionClass {
   public:
    ConnectionClass(const HttpServer::Limits& limits, std::size_t& ordinary_connections)
        : limits_(limits),
          ordinary_connections_(ordinary_connections),
          idle_timeout_s_(limits.first_request_timeout_s) {}

    // Assigns the connection to the class of its latest request. Returns false if the limit of ordinary
    // connections is reached.
    bool admit(const std::string& target) {
        bool admitted = true;
        if (limits_.is_prioritized(target)) {
            ordinary_slot_.reset();
        } else if (!ordinary_slot_) {
            admitted = ordinary_connections_ < limits_.max_ordinary_connections;
            if (admitted) ordinary_slot_.emplace(ordinary_connections_);
        }
        idle_timeout_s_ =
            ordinary_slot_ ? limits_.ordinary_idle_timeout_s : limits_.prioritized_idle_timeout_s;
        return admitted;
    }
    // Returns how long the server waits for the connection's next request, in seconds.
    [[nodiscard]] double idle_timeout_s() const { return idle_timeout_s_; }

   private:
    const HttpServer::Limits& limits_;
    std::size_t& ordinary_connections_;
    std::optional<ScopedCount> ordinary_slot_;  // set while the connection is ordinary
    double idle_timeout_s_;
};

// Serves one connection. The idle timeout covers the wait for a request and its header; the body has a
// timeout of its own, so that a slow or endless one is cut off.
awaitable<void> serve_connection(tcp::socket socket, const HttpServer::Limits& limits,
                                 std::size_t& ordinary_connections, const HttpServer::Handler& handler) {
    ConnectionClass connection_class(limits, ordinary_connections);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(2 * constants::max_request_body_bytes);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(constants::max_request_body_bytes);
        stream.expires_after(seconds(connection_class.idle_timeout_s()));
        auto [head_error, head_size] =
            co_await http::async_read_header(stream, buffer, parser, use_nothrow_awaitable);
        if (head_error) {
            if (!is_malformed(head_error)) break;
            stream.expires_after(seconds(constants::write_timeout_s));
            co_await reject(stream, head_error);
            break;
        }
        stream.expires_after(seconds(constants::body_timeout_s));
        if (!parser.is_done()) {
            auto [body_error, body_size] =
                co_await http::async_read(stream, buffer, parser, use_nothrow_awaitable);
            if (body_error == http::error::body_limit) co_await reject(stream, body_error);
            if (body_error) break;
        }
        auto http_request = parser.release();
        const bool keep_alive = http_request.keep_alive();
        stream.expires_never();
        // A named variable, because GCC 12 destroys a braced temporary inside a co_await expression twice.
        Request request{std::string(http_request.method_string()), std::string(http_request.target()),
                        std::move(http_request.body())};
        Response response;
        if (connection_class.admit(request.target)) {
            response = co_await handler(std::move(request));
        } else {
            response = limits.make_rejection();
        }
        auto http_response = to_http_response(std::move(response), keep_alive);
        const bool keep_open = http_response.keep_alive();
        stream.expires_after(seconds(constants::write_timeout_s));
        auto [write_error, written] =
            co_await http::async_write(stream, http_response, use_nothrow_awaitable);
        if (write_error || !keep_open) break;
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

}  // namespace

HttpServer::HttpServer(const asio::any_io_executor& executor, config::Endpoint endpoint, Limits limits,
                       Handler handler)
    : state_(std::make_shared<State>(State{tcp::acceptor(executor), std::move(endpoint), std::move(limits),
                                           std::move(handler), 0, 0})) {}

std::uint16_t HttpServer::port() const {
    return state_->acceptor.local_endpoint().port();
}

void HttpServer::start() {
    const tcp::endpoint address(asio::ip::make_address(state_->endpoint.host), state_->endpoint.port);
    state_->acceptor.open(address.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(address);
    state_->acceptor.listen(constants::accept_backlog);
    asio::co_spawn(state_->acceptor.get_executor(), accept_connections(state_), asio::detached);
}

awaitable<void> HttpServer::accept_connections(std::shared_ptr<State> state) {
    for (;;) {
        auto [error, socket] = co_await state->acceptor.async_accept(use_nothrow_awaitable);
        if (error) {
            spdlog::warn("accept on {} failed: {}", state->endpoint.to_string(), error.message());
            co_await sleep_for(constants::accept_retry_s);
            continue;
        }
        if (state->connections >= state->limits.max_connections) {
            // The connection is closed immediately instead of queued, so that the load balancer tries another
            // controller.
            boost::system::error_code ignored;
            socket.close(ignored);
            continue;
        }
        ++state->connections;
        asio::co_spawn(
            state->acceptor.get_executor(),
            [state, connection = std::move(socket)]() mutable -> awaitable<void> {
                try {
                    co_await serve_connection(std::move(connection), state->limits,
                                              state->ordinary_connections, state->handler);
                } catch (const std::exception& e) {
                    spdlog::error("connection failed: {}", e.what());
                }
                --state->connections;
            },
            asio::detached);
    }
}

}  // namespace pineroad::net
