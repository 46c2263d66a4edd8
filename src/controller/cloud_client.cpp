#include "controller/cloud_client.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"

namespace pineroad::controller {

using store::steady_now_s;

CloudClient::CloudClient(std::unique_ptr<net::Client> client, double requests_per_s)
    : client_(std::move(client)), interval_s_(1.0 / (requests_per_s * constants::cloud_request_share)) {}

net::awaitable<void> CloudClient::wait_for_rate_limit() {
    const double send_at = std::max(steady_now_s(), next_request_at_);
    next_request_at_ = send_at + interval_s_;
    const double wait_s = send_at - steady_now_s();
    if (wait_s > 0) co_await net::sleep_for(wait_s);
}

net::awaitable<std::optional<net::Response>> CloudClient::request(std::string method, std::string target,
                                                                  std::string body) {
    co_return co_await client_->request(std::move(method), std::move(target), std::move(body),
                                        constants::cloud_timeout_s);
}

}  // namespace pineroad::controller
