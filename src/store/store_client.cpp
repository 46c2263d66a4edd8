#include "store/store_client.hpp"

#include <algorithm>
#include <utility>

#include "store/steady_time.hpp"
#include "wire/records.hpp"

namespace pineroad::store {

StoreClient::StoreClient(std::unique_ptr<net::Client> client, double requests_per_s, std::size_t controllers)
    : client_(std::move(client)), requests_per_s_(requests_per_s), controllers_(controllers) {}

net::awaitable<std::optional<net::Response>> StoreClient::request(std::string method, std::string target,
                                                                  std::string body, double timeout_s) {
    const double sent_at = steady_now_s();
    auto response =
        co_await client_->request(std::move(method), std::move(target), std::move(body), timeout_s);
    // A 503 is an outage, which may affect every controller or only this one. Any other status shows that the
    // store serves this controller.
    if (response && response->status != 503) {
        last_contact_s_ = std::max(last_contact_s_, sent_at);
        if (sent_at > outage_.since) outage_ = {};
    } else {
        if (outage_.since < 0) outage_.since = steady_now_s();
        outage_.last_sent = std::max(outage_.last_sent, sent_at);
    }
    co_return response;
}

net::awaitable<CommitResult> StoreClient::commit(std::string body, double timeout_s) {
    auto response = co_await request("POST", std::string(wire::commit_path), std::move(body), timeout_s);
    if (!response) co_return CommitResult{CommitStatus::no_response, 0, {}};
    switch (response->status) {
        case 200: {
            const auto revision = wire::parse_revision(response->body);
            if (!revision) co_return CommitResult{CommitStatus::unreadable, 0, std::move(response->body)};
            co_return CommitResult{CommitStatus::committed, *revision, {}};
        }
        case 400:
            co_return CommitResult{CommitStatus::malformed, 0, std::move(response->body)};
        case 409:
            co_return CommitResult{CommitStatus::conflict, 0, std::move(response->body)};
        case 429:
            co_return CommitResult{CommitStatus::rate_limited, 0, std::move(response->body)};
        default:
            co_return CommitResult{CommitStatus::unavailable, 0, std::move(response->body)};
    }
}

net::awaitable<ReadResult> StoreClient::read(std::string key) {
    const auto response = co_await request("GET", wire::row_target(key));
    if (response && response->status == 200)
        co_return ReadResult{ReadStatus::found, wire::parse_row(response->body)};
    if (response && response->status == 404) co_return ReadResult{ReadStatus::absent, std::nullopt};
    co_return ReadResult{};
}

net::awaitable<std::optional<wire::WatchEvents>> StoreClient::events_since(std::uint64_t revision) {
    const auto response = co_await request("GET", wire::watch_target(wire::records::all_prefix, revision, 0));
    if (!response || response->status != 200) co_return std::nullopt;
    co_return wire::parse_watch_events(response->body);
}

bool StoreClient::recently_served() const {
    return last_contact_s_ >= 0 && steady_now_s() - last_contact_s_ < constants::recent_store_contact_s;
}

double StoreClient::pacing_interval_s(double share) const {
    return static_cast<double>(controllers_) / (requests_per_s_ * share);
}

}  // namespace pineroad::store
