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
using SteadyClock = std::chrono::steady_clock;  // of the sockets' own timers
using Stream = std::unique_ptr<beast::tcp_stream>;
using Message = http::request<http::string_body>;

// Shared by the client and its requests under way.
struct HttpClient::State {
    asio::any_io_executor executor;
    config::Endpoint endpoint;
    std::size_t max_body_bytes;
    std::vector<Stream> idle;                // kept-alive connections
    std::size_t in_use = 0;                  // permits given out
    std::list<asio::steady_timer*> waiting;  // requests without a permit, in the order of their arrival

    // One of the connections that the client may use at a time. Its end lets the longest waiting request go
    // on.
    class Permit {
       public:
        explicit Permit(State& state) : state_(state) { ++state_.in_use; }
        ~Permit() {
            --state_.in_use;
            if (!state_.waiting.empty()) state_.waiting.front()->cancel();
        }
        Permit(const Permit&) = delete;
        Permit& operator=(const Permit&) = delete;
        Permit(Permit&&) = delete;
        Permit& operator=(Permit&&) = delete;

       private:
        State& state_;
    };

    // Waits until a permit can be taken. False: too many wait already, or the time is over.
    awaitable<bool> wait_for_permit(SteadyClock::time_point deadline) {
        while (in_use >= constants::max_connections_per_endpoint) {
            if (waiting.size() >= constants::max_queued_requests_per_endpoint ||
                SteadyClock::now() >= deadline)
                co_return false;
            asio::steady_timer timer(executor, deadline);
            const auto position = waiting.insert(waiting.end(), &timer);
            co_await timer.async_wait(tuple_awaitable);
            waiting.erase(position);
        }
        co_return true;
    }

    // A new connection; null if it fails.
    awaitable<Stream> connect(SteadyClock::time_point deadline) {
        auto stream = std::make_unique<beast::tcp_stream>(executor);
        const auto connect_by = SteadyClock::now() + seconds(constants::connect_timeout_s);
        stream->expires_at(std::min(connect_by, deadline));
        const tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
        auto [error] = co_await stream->async_connect(address, tuple_awaitable);
        if (error) co_return nullptr;
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        co_return stream;
    }

    // The connection used last; null if none is idle.
    Stream take_idle() {
        if (idle.empty()) return nullptr;
        auto stream = std::move(idle.back());
        idle.pop_back();
        return stream;
    }

    void keep_idle(Stream stream) {
        stream->expires_never();
        idle.push_back(std::move(stream));
    }

    // One dead connection speaks for the others that idle: after an outage the next request must not meet
    // them.
    void drop_idle() { idle.clear(); }

    [[nodiscard]] Message to_message(const std::string& method, const std::string& target,
                                     std::string body) const {
        Message message;
        message.version(11);
        message.method_string(method);
        message.target(target);
        message.set(http::field::host, endpoint.text());
        if (!body.empty()) message.set(http::field::content_type, "application/json");
        message.body() = std::move(body);
        message.prepare_payload();
        return message;
    }

    // Sends the request and reads its answer. A connection that can be used again is taken back among the
    // idle ones.
    awaitable<std::optional<Reply>> exchange(Stream& stream, const Message& message,
                                             SteadyClock::time_point deadline) {
        stream->expires_at(deadline);
        auto [write_error, written] = co_await http::async_write(*stream, message, tuple_awaitable);
        if (write_error) {
            drop_idle();
            co_return std::nullopt;
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        auto [read_error, read] = co_await http::async_read(*stream, buffer, parser, tuple_awaitable);
        Reply reply;
        if (read_error == http::error::body_limit) {
            reply.status = static_cast<int>(parser.get().result_int());
            reply.too_large = true;
            co_return reply;
        }
        if (read_error) {
            drop_idle();
            co_return std::nullopt;
        }
        auto response = parser.release();
        reply.status = static_cast<int>(response.result_int());
        reply.body = std::move(response.body());
        const bool reusable = response.keep_alive() && idle.size() < constants::max_connections_per_endpoint;
        if (reusable) keep_idle(std::move(stream));
        co_return reply;
    }
};

HttpClient::HttpClient(asio::any_io_executor executor, config::Endpoint endpoint, std::size_t max_body_bytes)
    : state_(std::make_shared<State>(
          State{std::move(executor), std::move(endpoint), max_body_bytes, {}, 0, {}})) {}

awaitable<std::optional<Reply>> HttpClient::request(std::string method, std::string target, std::string body,
                                                    double timeout_s) {
    const auto state = state_;
    const auto deadline = SteadyClock::now() + seconds(timeout_s);
    const bool may_connect = co_await state->wait_for_permit(deadline);
    if (!may_connect) co_return std::nullopt;
    const State::Permit permit(*state);

    Stream stream = state->take_idle();
    if (!stream) stream = co_await state->connect(deadline);
    if (!stream) co_return std::nullopt;
    const Message message = state->to_message(method, target, std::move(body));
    co_return co_await state->exchange(stream, message, deadline);
}

}  // namespace pineroad::net
