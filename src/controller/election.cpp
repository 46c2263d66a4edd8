// Leadership: a term is a token that only ever grows, won by a conditional commit and held by a lease.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "controller/controller.hpp"

namespace pineroad::controller {

namespace c = constants;
namespace records = wire::records;
using net::sleep_for;

bool Controller::may_start(const Term& t) const {
    return !t.over && lease_guard_.may_start(now());
}
bool Controller::may_answer_heartbeats(const Term& t) const {
    return !t.over && lease_guard_.may_answer_heartbeats(now());
}

void Controller::end_term(Term& t, const char* why) {
    if (t.over) return;
    t.over = true;
    spdlog::info("term {} ended: {}", t.fencing_token, why);
    t.dirty.notify();
    t.replan.notify();
    t.cloud.notify();
    for (auto& [machine, timer] : t.held) timer->cancel();
    leadership_changed_.notify();
}

net::awaitable<void> Controller::election_loop() {
    for (;;) {
        if (!watch_cache_.ready || now() < election_backoff_until_) {
            co_await leadership_changed_.wait(c::election_retry_s);
            continue;
        }
        if (watch_cache_.leader) {
            const auto& l = watch_cache_.leader->value;
            if (l.node == settings_.name) {
                // Our own earlier life: that process has ended, so its lease may end too.
                spdlog::info("ending the lease of this node's earlier term {}", l.fencing_token);
                co_await state("DELETE", wire::lease_target(l.lease));
                co_await linearizable_read();
                if (watch_cache_.leader && watch_cache_.leader->value.node == settings_.name)
                    co_await sleep_for(c::election_retry_s);
            } else {
                co_await leadership_changed_.wait(1.0);
            }
            continue;
        }
        auto term = co_await run_for_leader();
        if (!term) {
            co_await sleep_for(c::election_retry_s *
                               std::uniform_real_distribution<double>(0.5, 1.5)(random_));
            continue;
        }
        // The rows of earlier terms are final now: theirs are conditional on a key that is gone.
        bool loaded = false;
        while (!term->over && may_start(*term) && !(loaded = co_await linearizable_read()))
            co_await sleep_for(c::store_retry_s);
        if (!loaded || !load_cluster_state(*term)) {
            end_term(*term, "its picture could not be read");
        } else {
            term_ = term;
            observe_token(term->fencing_token, settings_.name);
            spawn(commit_loop(term));
            spawn(plan_loop(term));
            spawn(machine_list_loop(term));
            spawn(machine_types_loop(term));
            spawn(provisioning_loop(term));
            spawn(release_loop(term));
            spawn(format_loop(term));
            co_await renew_lease(term);
        }
        watch_cache_.on_job = nullptr;
        watch_cache_.on_cancelled = nullptr;
        watch_cache_.on_dependencies = nullptr;
        term_.reset();
        if (term->lease) co_await state("DELETE", wire::lease_target(term->lease));
        co_await linearizable_read();
    }
}

net::awaitable<std::shared_ptr<Term>> Controller::run_for_leader() {
    const double sent = now();
    const auto made =
        co_await state("POST", std::string(wire::leases_path), wire::lease_request(c::lease_ttl_ms));
    const auto lease = made && made->status == 200 ? wire::parse_lease(made->body) : std::nullopt;
    if (!lease || watch_cache_.leader) {
        if (lease) co_await state("DELETE", wire::lease_target(*lease));
        co_return nullptr;
    }
    auto term = std::make_shared<Term>();
    term->lease = *lease;
    term->fencing_token = std::max(watch_cache_.term.value, highest_token_) + 1;
    term->nonce = random_();
    lease_guard_.restart();
    lease_guard_.renewed(sent);
    term->started = now();
    wire::Transaction txn;
    txn.conditions = {{std::string(records::leader_key), 0},
                      {std::string(records::term_key), watch_cache_.term.mod_revision}};
    txn.changes = {
        {std::string(records::leader_key),
         records::leader_json({settings_.name, term->fencing_token, term->lease, term->nonce}), *lease},
        {std::string(records::term_key), records::term_json(term->fencing_token), std::nullopt}};
    const auto reply = co_await state("POST", std::string(wire::commit_path), wire::commit_request(txn),
                                      c::commit_timeout_s);
    if (reply && reply->status == 200) {
        if (const auto revision = wire::parse_revision(reply->body)) term->mod_revision = *revision;
    } else if (!reply) {
        // It may have been applied, or may yet be: the key tells, by a number nobody else uses.
        const auto read = co_await state("GET", wire::store_target(records::leader_key));
        if (const auto row = read && read->status == 200 ? wire::parse_row(read->body) : std::nullopt)
            if (const auto l = records::parse_leader(row->value); l && l->nonce == term->nonce)
                term->mod_revision = row->mod_revision;
    }
    if (term->mod_revision == 0) {
        // With its lease gone a late copy of the commit is refused.
        co_await state("DELETE", wire::lease_target(*lease));
        co_await linearizable_read();
        co_return nullptr;
    }
    spdlog::info("term {} won by {} (lease {})", term->fencing_token, settings_.name, term->lease);
    co_return term;
}

net::awaitable<void> Controller::renew_lease(std::shared_ptr<Term> term) {
    while (!term->over) {
        const double sent = now();
        const auto reply = co_await state("POST", wire::renew_lease_target(term->lease));
        if (term->over) break;
        if (reply && reply->status == 200) {
            lease_guard_.renewed(sent);
        } else if (reply && reply->status == 404) {
            end_term(*term, "its lease ran out");
            break;
        }
        std::vector<leadership::LeaseGuard::Contact> contacts;
        for (const auto& p : peers_) contacts.push_back(p.contact());
        if (lease_guard_.should_step_down(now(), store_refusal_, contacts)) {
            end_term(*term, "cut off from the state service alone");
            break;
        }
        // Users and peers reach workers and we don't: a peer should lead.
        if (now() - term->started > c::no_heartbeat_step_down_s &&
            term->cluster_state->last_heartbeat() < now() - c::no_heartbeat_step_down_s) {
            bool peer_hears = false;
            for (const auto& p : peers_)
                peer_hears = peer_hears || (p.contacted_at > now() - 3 && p.last.heartbeat_age_ms < 4000 &&
                                            p.last.uptime_ms > 4000);
            if (peer_hears) {
                election_backoff_until_ = now() + c::election_backoff_s;
                end_term(*term, "workers reach a peer but not this node");
                break;
            }
        }
        co_await leadership_changed_.wait(reply && reply->status == 200 ? c::lease_renew_s
                                                                        : c::store_retry_s);
    }
}

}  // namespace pineroad::controller
