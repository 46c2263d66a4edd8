// Leadership: a term is a token that only ever grows, won by a conditional commit and held by a lease.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "control/node.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;
using net::sleep_for;

bool Node::may_start(const Term& t) const {
    return !t.over && proof_.may_start(now());
}
bool Node::may_answer(const Term& t) const {
    return !t.over && proof_.may_answer(now());
}

void Node::end_term(Term& t, const char* why) {
    if (t.over) return;
    t.over = true;
    spdlog::info("term {} ended: {}", t.token, why);
    t.dirty.notify();
    t.replan.notify();
    t.cloud.notify();
    for (auto& [machine, timer] : t.held) timer->cancel();
    term_event_.notify();
}

net::awaitable<void> Node::lead_loop() {
    for (;;) {
        if (!mirror_.ready || now() < abstain_until_) {
            co_await term_event_.wait(c::campaign_pause_s);
            continue;
        }
        if (mirror_.leader) {
            const auto& l = mirror_.leader->value;
            if (l.node == settings_.name) {
                // Our own earlier life: that process has ended, so its lease may end too.
                spdlog::info("ending the lease of this node's earlier term {}", l.token);
                co_await state("DELETE", wire::lease_target(l.lease));
                co_await barrier();
                if (mirror_.leader && mirror_.leader->value.node == settings_.name)
                    co_await sleep_for(c::campaign_pause_s);
            } else {
                co_await term_event_.wait(1.0);
            }
            continue;
        }
        auto term = co_await campaign();
        if (!term) {
            co_await sleep_for(c::campaign_pause_s *
                               std::uniform_real_distribution<double>(0.5, 1.5)(random_));
            continue;
        }
        // The rows of earlier terms are final now: theirs are conditional on a key that is gone.
        bool loaded = false;
        while (!term->over && may_start(*term) && !(loaded = co_await barrier()))
            co_await sleep_for(c::state_retry_s);
        if (!loaded || !open_book(*term)) {
            end_term(*term, "its picture could not be read");
        } else {
            term_ = term;
            heard_token(term->token, settings_.name);
            spawn(commit_loop(term));
            spawn(plan_loop(term));
            spawn(list_loop(term));
            spawn(types_loop(term));
            spawn(rent_loop(term));
            spawn(release_loop(term));
            spawn(format_loop(term));
            co_await hold(term);
        }
        mirror_.on_job = nullptr;
        mirror_.on_cancelled = nullptr;
        mirror_.on_dependencies = nullptr;
        term_.reset();
        if (term->lease) co_await state("DELETE", wire::lease_target(term->lease));
        co_await barrier();
    }
}

net::awaitable<std::shared_ptr<Term>> Node::campaign() {
    const double sent = now();
    const auto made =
        co_await state("POST", std::string(wire::leases_path), wire::lease_request(c::lease_ttl_ms));
    const auto lease = made && made->status == 200 ? wire::parse_lease(made->body) : std::nullopt;
    if (!lease || mirror_.leader) {
        if (lease) co_await state("DELETE", wire::lease_target(*lease));
        co_return nullptr;
    }
    auto term = std::make_shared<Term>();
    term->lease = *lease;
    term->token = std::max(mirror_.term.value, heard_token_) + 1;
    term->nonce = random_();
    proof_.restart();
    proof_.renewed(sent);
    term->started = now();
    wire::Transaction txn;
    txn.when = {{std::string(records::leader_key), 0}, {std::string(records::term_key), mirror_.term.stamp}};
    txn.apply = {{std::string(records::leader_key),
                  records::leader_json({settings_.name, term->token, term->lease, term->nonce}), *lease},
                 {std::string(records::term_key), records::term_json(term->token), std::nullopt}};
    const auto reply = co_await state("POST", std::string(wire::commit_path), wire::commit_request(txn),
                                      c::commit_timeout_s);
    if (reply && reply->status == 200) {
        if (const auto epoch = wire::parse_epoch(reply->body)) term->stamp = *epoch;
    } else if (!reply) {
        // It may have been applied, or may yet be: the key tells, by a number nobody else uses.
        const auto read = co_await state("GET", wire::store_target(records::leader_key));
        if (const auto row = read && read->status == 200 ? wire::parse_row(read->body) : std::nullopt)
            if (const auto l = records::parse_leader(row->value); l && l->nonce == term->nonce)
                term->stamp = row->stamp;
    }
    if (term->stamp == 0) {
        // With its lease gone a late copy of the commit is refused.
        co_await state("DELETE", wire::lease_target(*lease));
        co_await barrier();
        co_return nullptr;
    }
    spdlog::info("term {} won by {} (lease {})", term->token, settings_.name, term->lease);
    co_return term;
}

net::awaitable<void> Node::hold(std::shared_ptr<Term> term) {
    while (!term->over) {
        const double sent = now();
        const auto reply = co_await state("POST", wire::touch_target(term->lease));
        if (term->over) break;
        if (reply && reply->status == 200) {
            proof_.renewed(sent);
        } else if (reply && reply->status == 404) {
            end_term(*term, "its lease ran out");
            break;
        }
        std::vector<Proof::Contact> contacts;
        for (const auto& p : peers_) contacts.push_back(p.contact());
        if (proof_.should_let_go(now(), refused_, contacts)) {
            end_term(*term, "cut off from the state service alone");
            break;
        }
        // Users and peers reach workers and we don't: a peer should lead.
        if (now() - term->started > c::deaf_s && term->book->last_report() < now() - c::deaf_s) {
            bool peer_hears = false;
            for (const auto& p : peers_)
                peer_hears = peer_hears ||
                             (p.heard_at > now() - 3 && p.last.report_age_ms < 4000 && p.last.up_ms > 4000);
            if (peer_hears) {
                abstain_until_ = now() + c::abstain_s;
                end_term(*term, "workers reach a peer but not this node");
                break;
            }
        }
        co_await term_event_.wait(reply && reply->status == 200 ? c::lease_renew_s : c::state_retry_s);
    }
}

}  // namespace pineroad::control
