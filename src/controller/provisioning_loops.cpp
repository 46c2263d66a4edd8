#include "controller/provisioning_loops.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/protocol.hpp"

namespace pineroad::controller {

namespace c = constants;
using net::sleep_for;
using store::steady_now_s;

namespace {

constexpr double retry_delay_s = 1.0;    // after a failed request
constexpr double max_idle_wait_s = 0.5;  // longest wait for machines to request or to release
constexpr int machines_per_page = 500;

// Returns whether the cloud will not provide these machines, because it has no capacity or the request is
// malformed.
bool is_refusal(const net::Response& response) {
    const bool no_capacity = response.status == 503 && response.body.find("no capacity") != std::string::npos;
    return no_capacity || response.status == 400;
}

}  // namespace

net::awaitable<void> ProvisioningLoops::poll_machine_types(std::shared_ptr<cluster::LeaderTerm> leader) {
    auto& term = *leader->term;
    while (!term.ended()) {
        co_await cloud_.wait_for_rate_limit();
        const auto response = co_await cloud_.request("GET", std::string(wire::machine_types_path));
        if (term.ended()) break;
        const auto document =
            response && response->status == 200 ? wire::parse_json(response->body) : std::nullopt;
        const auto types = document ? wire::parse_machine_types(*document) : std::nullopt;
        if (types && leader->cluster_state.set_machine_types(*types)) {
            spdlog::info("loaded {} machine types", types->size());
            term.commit_due.notify();
        }
        co_await sleep_for(types ? c::machine_types_period_s : retry_delay_s);
    }
}

net::awaitable<void> ProvisioningLoops::poll_machine_list(std::shared_ptr<cluster::LeaderTerm> leader) {
    auto& term = *leader->term;
    while (!term.ended()) {
        const auto machines = co_await list_machines(term);
        if (machines && !term.ended()) leader->cluster_state.apply_machine_list(*machines, steady_now_s());
        co_await sleep_for(c::machine_list_period_s);
    }
}

net::awaitable<std::optional<std::vector<model::ListedMachine>>> ProvisioningLoops::list_machines(
    const leadership::Term& term) {
    std::vector<model::ListedMachine> machines;
    std::string after;
    for (bool more = true; more && !term.ended();) {
        co_await cloud_.wait_for_rate_limit();
        const auto response =
            co_await cloud_.request("GET", wire::machine_list_target(after, machines_per_page));
        const auto page =
            response && response->status == 200 ? wire::parse_machine_list(response->body) : std::nullopt;
        if (!page) co_return std::nullopt;
        more = page->has_more && !page->machines.empty();
        if (more) after = page->machines.back().id;
        machines.insert(machines.end(), page->machines.begin(), page->machines.end());
    }
    co_return machines;
}

net::awaitable<void> ProvisioningLoops::scale_out(std::shared_ptr<cluster::LeaderTerm> leader) {
    auto& term = *leader->term;
    auto& cluster_state = leader->cluster_state;
    while (!term.ended()) {
        if (!cluster_state.has_provisioning_request()) {
            co_await term.scaling_due.wait(max_idle_wait_s);
            continue;
        }
        co_await cloud_.wait_for_rate_limit();
        // Checked after every wait: if the process was suspended during the wait, it may no longer hold the
        // term.
        const auto request =
            term.may_start_tasks() ? cluster_state.next_provisioning_request() : std::nullopt;
        if (!request) continue;
        const auto response = co_await cloud_.request("POST", std::string(wire::machines_path),
                                                      wire::provisioning_request(*request));
        if (term.ended()) break;
        const auto machines = response && response->status == 200
                                  ? wire::parse_provisioned_machines(response->body)
                                  : std::nullopt;
        if (machines) {
            cluster_state.machines_provisioned(request->name, *machines, steady_now_s());
        } else if (response && is_refusal(*response)) {
            cluster_state.provisioning_refused(request->name, steady_now_s());
        } else {
            // No response, 429 or an outage: retry under the same name, for which the cloud provides machines
            // only once.
            cluster_state.provisioning_response_missing(request->name);
            co_await sleep_for(retry_delay_s);
        }
        term.plan_due.notify();
    }
}

net::awaitable<void> ProvisioningLoops::scale_in(std::shared_ptr<cluster::LeaderTerm> leader) {
    auto& term = *leader->term;
    auto& cluster_state = leader->cluster_state;
    while (!term.ended()) {
        if (cluster_state.machines_to_release(steady_now_s()).empty()) {
            co_await term.scaling_due.wait(max_idle_wait_s);
            continue;
        }
        co_await cloud_.wait_for_rate_limit();
        // Checked after every wait: a leader that was suspended would release machines that the next leader
        // has found alive.
        const auto machines = term.may_start_tasks() ? cluster_state.machines_to_release(steady_now_s())
                                                     : std::vector<std::string>{};
        if (machines.empty()) continue;
        const auto response =
            co_await cloud_.request("POST", std::string(wire::release_path), wire::release_request(machines));
        if (term.ended()) break;
        if (response && response->status == 200) {
            cluster_state.machines_released(machines, steady_now_s());
            term.plan_due.notify();
        } else {
            co_await sleep_for(retry_delay_s);
        }
    }
}

}  // namespace pineroad::controller
