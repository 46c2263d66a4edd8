#include "leadership/election.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/records.hpp"

namespace pineroad::leadership {

namespace c = constants;
namespace records = wire::records;
using net::sleep_for;
using store::steady_now_s;

Election::Election(std::string name, const Dependencies& dependencies)
    : name_(std::move(name)),
      store_(dependencies.store),
      watch_cache_(dependencies.watch_cache),
      linearizable_read_(dependencies.linearizable_read),
      lease_guard_(dependencies.lease_guard),
      state_(dependencies.state),
      peers_(dependencies.peers),
      leader_delegate_(dependencies.leader_delegate),
      random_(dependencies.random) {}

net::awaitable<void> Election::run() {
    for (;;) {
        if (!watch_cache_.ready || steady_now_s() < backoff_until_) {
            co_await state_.changed().wait(c::election_retry_s);
            continue;
        }
        if (watch_cache_.leader) {
            co_await follow();
            continue;
        }
        auto term = co_await campaign();
        if (!term) {
            co_await sleep_for(c::election_retry_s *
                               std::uniform_real_distribution<double>(0.5, 1.5)(random_));
            continue;
        }
        co_await lead(std::move(term));
    }
}

net::awaitable<void> Election::follow() {
    const auto& leader = watch_cache_.leader->value;
    if (leader.node != name_) {
        co_await state_.changed().wait(1.0);
        co_return;
    }
    // An earlier process of this controller wrote the leader record. That process has exited, so its lease
    // can be revoked.
    spdlog::info("ending the lease of this controller's earlier term {}", leader.fencing_token);
    co_await revoke_lease(leader.lease);
    co_await linearizable_read_.catch_up();
    if (watch_cache_.leader && watch_cache_.leader->value.node == name_)
        co_await sleep_for(c::election_retry_s);
}

net::awaitable<std::shared_ptr<Term>> Election::campaign() {
    const double sent_at = steady_now_s();
    const auto granted =
        co_await store_.request("POST", std::string(wire::leases_path), wire::lease_request(c::lease_ttl_ms));
    const auto lease = granted && granted->status == 200 ? wire::parse_lease(granted->body) : std::nullopt;
    if (!lease || watch_cache_.leader) {
        if (lease) co_await revoke_lease(*lease);
        co_return nullptr;
    }
    TermIdentity identity;
    identity.lease = *lease;
    identity.fencing_token = std::max(watch_cache_.term.value, state_.highest_token()) + 1;
    identity.nonce = random_();
    lease_guard_.reset_lease();
    lease_guard_.lease_renewed(sent_at);
    const double started_at = steady_now_s();
    identity.mod_revision = co_await claim_leadership(identity);
    if (identity.mod_revision == 0) {
        // Once the lease is revoked, the store rejects a late copy of the transaction.
        co_await revoke_lease(*lease);
        co_await linearizable_read_.catch_up();
        co_return nullptr;
    }
    spdlog::info("term {} won by {} (lease {})", identity.fencing_token, name_, identity.lease);
    co_return std::make_shared<Term>(identity, started_at, lease_guard_, state_.changed());
}

net::awaitable<std::uint64_t> Election::claim_leadership(const TermIdentity& identity) {
    wire::Transaction transaction;
    transaction.conditions = {{std::string(records::leader_key), 0},
                              {std::string(records::term_key), watch_cache_.term.mod_revision}};
    transaction.changes = {
        {std::string(records::leader_key),
         records::leader_json({name_, identity.fencing_token, identity.lease, identity.nonce}),
         identity.lease},
        {std::string(records::term_key), records::term_json(identity.fencing_token), std::nullopt}};
    const auto result = co_await store_.commit(wire::commit_request(transaction), c::commit_timeout_s);
    if (result.status != store::CommitStatus::no_response) co_return result.revision;
    // The transaction may have been applied, or may still be applied later. The leader record shows
    // whether it was applied, because the nonce is unique to this term.
    const auto read = co_await store_.read(std::string(records::leader_key));
    const auto leader = read.row ? records::parse_leader(read.row->value) : std::nullopt;
    if (!leader || leader->nonce != identity.nonce) co_return 0;
    co_return read.row->mod_revision;
}

net::awaitable<void> Election::lead(std::shared_ptr<Term> term) {
    // Awaited outside the if condition: GCC 12 lays out the coroutine frame incorrectly when a co_await in a
    // condition guards virtual calls.
    const bool loaded = co_await load_state(term);
    if (loaded) {
        state_.begin_term(term);
        state_.observe_token(term->fencing_token(), name_);
        leader_delegate_.start_term();
        co_await renew_lease(term);
    } else {
        term->end(EndReason::state_not_loaded);
    }
    leader_delegate_.end_term();
    state_.clear_term();
    if (term->identity().lease) co_await revoke_lease(term->identity().lease);
    co_await linearizable_read_.catch_up();
}

// The records of earlier terms can no longer change: their transactions are conditional on a leader record
// that no longer exists.
net::awaitable<bool> Election::load_state(std::shared_ptr<Term> term) {
    while (term->may_start_tasks()) {
        const bool current = co_await linearizable_read_.catch_up();
        if (current) co_return leader_delegate_.prepare(term);
        co_await sleep_for(c::store_retry_s);
    }
    co_return false;
}

net::awaitable<void> Election::renew_lease(std::shared_ptr<Term> term) {
    while (!term->ended()) {
        const double sent_at = steady_now_s();
        const auto response =
            co_await store_.request("POST", wire::renew_lease_target(term->identity().lease));
        if (term->ended()) break;
        const bool renewed = response && response->status == 200;
        if (renewed) {
            lease_guard_.lease_renewed(sent_at);
        } else if (response && response->status == 404) {
            term->end(EndReason::lease_expired);
            break;
        }
        if (const auto reason = step_down_reason(*term)) {
            if (*reason == EndReason::no_heartbeats) backoff_until_ = steady_now_s() + c::election_backoff_s;
            term->end(*reason);
            break;
        }
        co_await state_.changed().wait(renewed ? c::lease_renewal_period_s : c::store_retry_s);
    }
}

std::optional<EndReason> Election::step_down_reason(const Term& term) const {
    const double now = steady_now_s();
    if (lease_guard_.is_isolated(now, store_.outage(), peers_.store_contacts())) return EndReason::isolated;
    // If workers reach a peer but not this controller, that peer should lead.
    const bool without_heartbeats = now - term.started_at() > c::no_heartbeat_step_down_s &&
                                    leader_delegate_.last_heartbeat_s() < now - c::no_heartbeat_step_down_s;
    if (without_heartbeats && peers_.heartbeats_reach_peer()) return EndReason::no_heartbeats;
    return std::nullopt;
}

net::awaitable<void> Election::revoke_lease(std::uint64_t lease) {
    co_await store_.request("DELETE", wire::lease_target(lease));
}

}  // namespace pineroad::leadership
