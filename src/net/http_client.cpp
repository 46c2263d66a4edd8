#include "net/http_client.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <utility>
#include <vector>

#include "config/constants.hpp"

namespace pineroad::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;  // clock of the sockets' timers, never simulated
using Stream = std::unique_ptr<beast::tcp_stream>;
using HttpRequest = http::request<http::string_body>;

// State shared by the client and its requests in flight.
struct HttpClient::State {
    asio::any_io_executor executor;
    config::Endpoint endpoint;
    std::size_t max_body_bytes;
    std::vector<Stream> idle_connections;    // keep-alive connections, last used at the back
    std::size_t permits_in_use = 0;          // number of live permits
    std::list<asio::steady_timer*> waiting;  // timers of requests without a permit, oldest first

    // Permit to use one connection; the number of permits is limited. Its destructor wakes the request that
    // has waited longest.
    class Permit {
       public:
        explicit Permit(State& state) : state_(state) { ++state_.permits_in_use; }
        ~Permit() {
            --state_.permits_in_use;
            if (!state_.waiting.empty()) state_.waiting.front()->cancel();
        }
        Permit(const Permit&) = delete;
        Permit& operator=(const Permit&) = delete;
        Permit(Permit&&) = delete;
        Permit& operator=(Permit&&) = delete;

       private:
        State& state_;
    };

    // Waits until a permit is available. Returns false if the queue is full or the deadline has passed.
    awaitable<bool> wait_for_permit(SteadyClock::time_point deadline) {
        while (permits_in_use >= constants::max_connections_per_endpoint) {
            if (waiting.size() >= constants::max_queued_requests_per_endpoint ||
                SteadyClock::now() >= deadline)
                co_return false;
            asio::steady_timer timer(executor, deadline);
            const auto position = waiting.insert(waiting.end(), &timer);
            co_await timer.async_wait(use_nothrow_awaitable);
            waiting.erase(position);
        }
        co_return true;
    }

    // Opens a new connection. Returns nullptr on failure.
    awaitable<Stream> connect(SteadyClock::time_point deadline) {
        auto stream = std::make_unique<beast::tcp_stream>(executor);
        const auto connect_deadline = SteadyClock::now() + seconds(constants::connect_timeout_s);
        stream->expires_at(std::min(connect_deadline, deadline));
        const tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
        auto [error] = co_await stream->async_connect(address, use_nothrow_awaitable);
        if (error) co_return nullptr;
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        co_return stream;
    }

    // Returns the most recently used idle connection, or nullptr if there is none.
    Stream take_idle_connection() {
        if (idle_connections.empty()) return nullptr;
        auto stream = std::move(idle_connections.back());
        idle_connections.pop_back();
        return stream;
    }

    void keep_idle_connection(Stream stream) {
        stream->expires_never();
        idle_connections.push_back(std::move(stream));
    }

    // Closes all idle connections after one connection failed: the others probably failed too, and the next
    // request after an outage must not try them one by one.
    void close_idle_connections() { idle_connections.clear(); }

    [[nodiscard]] HttpRequest to_http_request(const std::string& method, const std::string& target,
                                              std::string body) const {
        HttpRequest http_request;
        http_request.version(11);
        http_request.method_string(method);
        http_request.target(target);
        http_request.set(http::field::host, endpoint.to_string());
        if (!body.empty()) http_request.set(http::field::content_type, "application/json");
        http_request.body() = std::move(body);
        http_request.prepare_payload();
        return http_request;
    }

    // Sends the request and reads the response. A connection that can be reused is moved to the idle
    // connections.
    awaitable<std::optional<Response>> exchange(Stream& stream, const HttpRequest& http_request,
                                                SteadyClock::time_point deadline) {
        stream->expires_at(deadline);
        auto [write_error, written] =
            co_await http::async_write(*stream, http_request, use_nothrow_awaitable);
        if (write_error) {
            close_idle_connections();
            co_return std::nullopt;
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        auto [read_error, read] = co_await http::async_read(*stream, buffer, parser, use_nothrow_awaitable);
        Response response;
        if (read_error == http::error::body_limit) {
            response.status = static_cast<int>(parser.get().result_int());
            response.too_large = true;
            co_return response;
        }
        if (read_error) {
            close_idle_connections();
            co_return std::nullopt;
        }
        auto http_response = parser.release();
        response.status = static_cast<int>(http_response.result_int());
        response.body = std::move(http_response.body());
        const bool reusable =
            http_response.keep_alive() && idle_connections.size() < constants::max_connections_per_endpoint;
        if (reusable) keep_idle_connection(std::move(stream));
        co_return response;
    }
};

HttpClient::HttpClient(asio::any_io_executor executor, config::Endpoint endpoint, std::size_t max_body_bytes)
    : state_(std::make_shared<State>(
          State{std::move(executor), std::move(endpoint), max_body_bytes, {}, 0, {}})) {}

awaitable<std::optional<Response>> HttpClient::request(std::string method, std::string target,
                                                       std::string body, double timeout_s) {
    const auto state = state_;
    const auto deadline = SteadyClock::now() + seconds(timeout_s);
    const bool may_connect = co_await state->wait_for_permit(deadline);
    if (!may_connect) co_return std::nullopt;
    const State::Permit permit(*state);

    Stream stream = state->take_idle_connection();
    if (!stream) stream = co_await state->connect(deadline);
    if (!stream) co_return std::nullopt;
    const HttpRequest http_request = state->to_http_request(method, target, std::move(body));
    co_return co_await state->exchange(stream, http_request, deadline);
}

}  // namespace pineroad::net
