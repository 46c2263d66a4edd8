// The loops of a term: commits, planning, the cloud, and the reports of workers.
#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "control/node.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;
using net::Reply;
using net::sleep_for;

bool Node::open_book(Term& term) {
    if (!mirror_.leader || mirror_.leader->value.nonce != term.nonce) return false;
    term.stamp = mirror_.leader->stamp;
    term.book = std::make_unique<Book>(settings_, tuning_, term.token, term.stamp, now());
    Book& book = *term.book;
    book.load(mirror_, now(), wall_ms());
    // What a peer named since the mirror was read counts too: the proof stands on it.
    if (const auto named = mirror_.cancellations().above(mirror_.epoch))
        for (const auto& [revision, id] : *named) book.job_cancelled(id, now());
    else
        return false;
    mirror_.on_job = [this, &book, &term](const model::JobSpec& spec, std::uint64_t stamp) {
        book.job_added(spec, stamp, now());
        term.writes.by_others(1);
        term.replan.notify();
    };
    mirror_.on_cancelled = [this, &book, &term](const std::string& id, bool fresh) {
        const bool by_user = book.jobs().contains(id);  // what this term ended itself is gone from the book
        book.job_cancelled(id, now());
        if (fresh && by_user) term.writes.by_others(2);
        term.replan.notify();
    };
    mirror_.on_dependencies = [this, &book, &term](const model::DependencyGraph::Change& change) {
        for (const auto& id : change.cancelled) book.job_withdrawn(id, now());
        term.replan.notify();
    };
    spdlog::info("term {}: {} jobs, {} machines with tasks, {} rentals open", term.token, book.jobs().size(),
                 book.machines().size(), mirror_.open_rentals.value.size() + mirror_.rentals.size());
    return true;
}

// One transaction at a time, each conditional on the leadership key and on every record's own version, so
// that a copy applied late finds them changed. What got no answer is settled by reading back before anything
// goes on.
net::awaitable<void> Node::commit_loop(std::shared_ptr<Term> term) {
    Book& book = *term->book;
    term->writes.start(settings_.write_rps, now());
    while (!term->over) {
        if (const double wait = term->writes.wait_s(c::least_batch, now()); wait > 0) {
            co_await sleep_for(wait + 0.005);
            continue;
        }
        if (!may_start(*term)) {
            co_await sleep_for(0.1);
            continue;
        }
        // No more at once than the budget holds: a debt would make the next starts wait.
        auto batch = book.dirty() ? book.next_batch(term->writes.available(now())) : std::nullopt;
        if (!batch) {
            co_await term->dirty.wait(0.5);
            continue;
        }
        const auto body = wire::commit_request(batch->txn);
        bool uncertain = false;
        while (!term->over) {
            const auto reply =
                co_await state("POST", std::string(wire::commit_path), body, c::commit_timeout_s);
            term->writes.spend(batch->txn.apply.size());
            if (term->over) break;
            if (reply && reply->status == 200) {
                const auto epoch = wire::parse_epoch(reply->body);
                if (!epoch) {
                    end_term(*term, "a commit's answer cannot be read");
                    break;
                }
                apply_committed(*term, *batch, *epoch);
                break;
            }
            if (!reply) {
                uncertain = true;                      // the same again: at most one copy can apply
                co_await sleep_for(c::state_retry_s);  // a refused connection answers at once
                continue;
            }
            if (reply->status == 409) {
                const auto failed = wire::parse_failed(reply->body);
                if (std::find(failed.begin(), failed.end(), records::leader_key) != failed.end()) {
                    end_term(*term, "its leadership key is gone");
                    break;
                }
                if (!uncertain) {
                    // A user's cancellation came first; the watch tells which.
                    co_await barrier();
                    break;
                }
                // Applied by an earlier copy, or beaten by a cancellation. All or nothing was applied, so one
                // record tells: a written one holds our value; a dropped one (only the leader drops these) is
                // gone.
                const auto written = std::find_if(batch->txn.apply.begin(), batch->txn.apply.end(),
                                                  [](const auto& ch) { return ch.value.has_value(); });
                const auto& probe = written != batch->txn.apply.end() ? *written : batch->txn.apply.front();
                const auto read = co_await state("GET", wire::store_target(probe.key));
                if (!read || (read->status != 200 && read->status != 404)) {
                    co_await sleep_for(c::state_retry_s);
                    continue;
                }
                const auto row = read->status == 200 ? wire::parse_row(read->body) : std::nullopt;
                const bool applied = probe.value ? row && row->value == *probe.value : read->status == 404;
                if (applied) {
                    apply_committed(*term, *batch, row ? row->stamp : 0);
                } else {
                    spdlog::info("commit of {} changes was not applied (term {})", batch->txn.apply.size(),
                                 term->token);
                    co_await barrier();
                }
                break;
            }
            if (reply->status == 400) {
                spdlog::error("a commit was refused as malformed: {}", reply->body);
                // Never the same again: an earlier copy may have been applied, or the limits are lower than
                // was announced.
                if (uncertain || !book.batch_refused()) end_term(*term, "a commit was refused");
                break;
            }
            if (reply->status == 429) term->writes.refused();
            co_await sleep_for(c::state_retry_s);  // 429, 503: not executed
        }
        for (const auto& id : book.take_ready())
            if (const auto held = term->held.find(id); held != term->held.end()) held->second->cancel();
        term->cloud.notify();
        co_await sleep_for(c::commit_gap_s);
    }
}

// What ended is known here at once, not only by the watch: jobs may wait for it.
void Node::apply_committed(Term& term, const Batch& batch, std::uint64_t epoch) {
    term.book->committed(batch, epoch, now(), wall_ms());
    for (const auto& ended : batch.finals) mirror_.learn_final(ended.job, ended.ending, epoch);
}

// The controllers that are known to read the present record format, beyond those written down: this one,
// peers that said so, and, once a user has asked for a job with dependencies, peers that are silent. Users
// ask only after every controller was replaced, so what is silent is not an earlier version that goes on.
std::set<std::string> Node::format_readers() const {
    auto out = mirror_.format.value;
    out.insert(settings_.name);
    const double before = now() - c::format_silence_s;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const auto& p = peers_[i];
        const bool silent = p.heard_at < before && p.question_at < before && started_ < before;
        if (p.reads_format || (asked_to_depend_ && silent)) out.insert(settings_.peers[i].name);
    }
    return out;
}

bool Node::format_agreed() const {
    const auto& readers = mirror_.format.value;
    return record_format_ >= records::format && readers.contains(settings_.name) &&
           std::all_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const config::Peer& p) { return readers.contains(p.name); });
}

// Writes down who reads the present record format. A process that was replaced never comes back as the
// earlier version, so the list only grows.
net::awaitable<void> Node::format_loop(std::shared_ptr<Term> term) {
    if (record_format_ < records::format) co_return;
    while (!term->over && !format_agreed()) {
        auto readers = format_readers();
        if (may_start(*term) && readers != mirror_.format.value) {
            wire::Transaction txn;
            txn.when = {{std::string(records::leader_key), term->stamp},
                        {std::string(records::format_key), mirror_.format.stamp}};
            txn.apply = {{std::string(records::format_key), records::format_json(readers), std::nullopt}};
            co_await state("POST", std::string(wire::commit_path), wire::commit_request(txn));
            co_await barrier();
        }
        co_await sleep_for(c::format_period_s);
    }
    if (!term->over) spdlog::info("every controller reads record format {}", records::format);
}

void Node::plan(Term& term) {
    Book& book = *term.book;
    if (format_agreed()) book.allow_parts();
    if (may_start(term)) {
        if (std::exchange(term.blind, false)) book.listening_from(now());
        book.tick(now());
        book.plan(now(), wall_ms(), mirror_.demand.classes(settings_, now()));
    } else {
        term.blind = true;
    }
    if (book.dirty()) term.dirty.notify();
    queue_stops(term);
    if (!book.next_releases(now()).empty()) term.cloud.notify();
}

// One plan for all that was reported since the last: a plan a report costs more than the share of a processor
// holds once hundreds of machines report every second.
net::awaitable<void> Node::plan_loop(std::shared_ptr<Term> term) {
    while (!term->over) {
        plan(*term);
        co_await sleep_for(c::plan_gap_s + std::min(lag_s_, c::plan_period_s));
        co_await term->replan.wait(c::plan_period_s);
    }
}

// Stops go straight to the worker; the same stop follows in the next answers until a report shows it done. So
// many at once are on their way: a round that stops hundreds of tasks, or a crowd of machines that hang, must
// not take the sockets that workers report over. Tasks that save come first, since their gang has only
// gang_peer_s; what has waited longer than that is left to the answers.
void Node::queue_stops(Term& term) {
    for (auto& d : term.book->direct_orders()) {
        const bool saves = std::any_of(d.orders.begin(), d.orders.end(),
                                       [](const model::Order& o) { return o.grace_s > 0; });
        if (saves)
            term.stops.push_front({now(), std::move(d)});
        else
            term.stops.push_back({now(), std::move(d)});
    }
    while (term.stops.size() > c::stops_waiting) term.stops.pop_back();
    send_queued(term_);
}

void Node::send_queued(const std::shared_ptr<Term>& term) {
    if (!term) return;
    // A stop needs no lease: it carries the token and the session, and ends only what has to end. Without the
    // state service these are the tasks of cancelled jobs.
    if (term->over) term->stops.clear();
    while (!term->stops.empty() && term->stops_under_way < sockets_.stops) {
        auto next = std::move(term->stops.front());
        term->stops.pop_front();
        if (now() - next.decided > settings_.gang_peer_s + settings_.report_s) continue;
        ++term->stops_under_way;
        net::asio::co_spawn(io_, send_stops(term, std::move(next.orders)), net::asio::detached);
    }
}

net::awaitable<void> Node::send_stops(std::shared_ptr<Term> term, DirectOrders d) {
    try {
        const auto worker = connect_(config::parse_endpoint(d.address));
        const auto reply =
            co_await worker->request("POST", std::string(wire::do_path),
                                     wire::do_request(term->token, d.session, d.orders), c::do_timeout_s);
        spdlog::debug("stops to {}: {}", d.machine, reply ? reply->status : 0);
    } catch (const std::exception& e) {
        spdlog::warn("stops to {} ({}) failed: {}", d.machine, d.address, e.what());
    }
    --term->stops_under_way;
    send_queued(term);
}

// --- cloud -------------------------------------------------------------------------------------------------

// Only the leader calls the cloud; its loops share the rate.
net::awaitable<void> Node::cloud_turn() {
    const double gap = 1.0 / (settings_.cloud_rps * c::cloud_share);
    const double at = std::max(now(), cloud_turn_);
    cloud_turn_ = at + gap;
    if (at > now()) co_await sleep_for(at - now());
}

net::awaitable<void> Node::types_loop(std::shared_ptr<Term> term) {
    while (!term->over) {
        co_await cloud_turn();
        const auto reply =
            co_await cloud_->request("GET", std::string(wire::flavors_path), {}, c::cloud_timeout_s);
        if (term->over) break;
        const auto doc = reply && reply->status == 200 ? wire::parse_json(reply->body) : std::nullopt;
        const auto types = doc ? wire::parse_types(*doc) : std::nullopt;
        if (types && term->book->set_types(*types)) {
            spdlog::info("{} machine types known", types->size());
            term->dirty.notify();
        }
        co_await sleep_for(types ? c::flavors_period_s : 1.0);
    }
}

net::awaitable<void> Node::list_loop(std::shared_ptr<Term> term) {
    while (!term->over) {
        std::vector<model::ListedMachine> all;
        std::string after;
        bool ok = true;
        for (bool more = true; more && ok && !term->over;) {
            co_await cloud_turn();
            const auto reply =
                co_await cloud_->request("GET", wire::list_target(after, 500), {}, c::cloud_timeout_s);
            auto page = reply && reply->status == 200 ? wire::parse_list(reply->body) : std::nullopt;
            ok = page.has_value();
            if (!ok) break;
            more = page->more && !page->machines.empty();
            if (more) after = page->machines.back().id;
            all.insert(all.end(), page->machines.begin(), page->machines.end());
        }
        if (ok && !term->over) term->book->listed(all, now());
        co_await sleep_for(c::list_period_s);
    }
}

net::awaitable<void> Node::rent_loop(std::shared_ptr<Term> term) {
    Book& book = *term->book;
    while (!term->over) {
        if (!book.has_rental()) {
            co_await term->cloud.wait(0.5);
            continue;
        }
        co_await cloud_turn();
        // Asked anew after every wait: a process that stood still meanwhile holds no term any more.
        const auto rental = may_start(*term) ? book.next_rental() : std::nullopt;
        if (!rental) continue;
        const auto reply = co_await cloud_->request("POST", std::string(wire::machines_path),
                                                    wire::rental_request(*rental), c::cloud_timeout_s);
        if (term->over) break;
        const auto got = reply && reply->status == 200 ? wire::parse_rented(reply->body) : std::nullopt;
        if (got) {
            book.rented(rental->name, *got, now());
        } else if (reply && ((reply->status == 503 && reply->body.find("no capacity") != std::string::npos) ||
                             reply->status == 400)) {
            book.rental_refused(rental->name, now());
        } else {
            // No answer, 429 or an outage: the same name again, it rents only once.
            book.rental_unanswered(rental->name);
            co_await sleep_for(1.0);
        }
        term->replan.notify();
    }
}

net::awaitable<void> Node::release_loop(std::shared_ptr<Term> term) {
    Book& book = *term->book;
    while (!term->over) {
        if (book.next_releases(now()).empty()) {
            co_await term->cloud.wait(0.5);
            continue;
        }
        co_await cloud_turn();
        // A leader that stood still while it waited would delete machines that the next one has found alive.
        const auto machines = may_start(*term) ? book.next_releases(now()) : std::vector<std::string>{};
        if (machines.empty()) continue;
        const auto reply = co_await cloud_->request("POST", std::string(wire::release_path),
                                                    wire::release_request(machines), c::cloud_timeout_s);
        if (term->over) break;
        if (reply && reply->status == 200) {
            book.released(machines, now());
            term->replan.notify();
        } else {
            co_await sleep_for(1.0);
        }
    }
}

// --- workers -----------------------------------------------------------------------------------------------

net::awaitable<Reply> Node::checkin(std::string body) {
    const auto parsed = wire::parse_report(body);
    if (const auto* why = std::get_if<std::string>(&parsed)) co_return Reply{400, wire::error_answer(*why)};
    const auto& report = std::get<model::Report>(parsed);
    heard_token(report.token, "");
    const auto term = term_;
    auto redirect = [&] {
        // A node cut off from the state service still knows an old leader; its peers may have told of a
        // newer.
        const bool known = mirror_.leader && mirror_.leader->value.token >= heard_token_;
        const auto& leader = known ? mirror_.leader->value.node : heard_leader_;
        return Reply{421, wire::redirect_answer(leader == settings_.name ? "" : leader)};
    };
    if (!term || !may_answer(*term)) {
        reported_ = now();
        co_return redirect();
    }
    Book& book = *term->book;
    // A copy of an earlier report tells nothing: not even that somebody reports here. No worker waits for
    // this answer, and it carries no orders: it must not renew a lease.
    if (!book.absorb(report, now())) co_return Reply{503, wire::error_answer("an older report")};
    reported_ = now();
    term->replan.notify();
    // A start may be given only once its placement is durable, and only in the answer to a report: a moment's
    // wait saves a whole report period. A machine without work can wait longer than one whose tasks' ends are
    // news; no answer may reach the worker after 4 s.
    const bool freed = std::any_of(report.tasks.begin(), report.tasks.end(),
                                   [](const auto& t) { return t.state == model::TaskState::exited; });
    double until = now();
    if (book.has_room(report.machine, now()))
        until += c::report_hold_idle_s;
    else if (freed || !book.settled(report.machine))
        until += c::report_hold_s;
    const auto newest = [&] {
        const auto m = book.machines().find(report.machine);
        return m != book.machines().end() && m->second.session == report.session &&
               m->second.tick == report.tick;
    };
    while (!term->over && may_start(*term) && newest() && now() < until && !book.has_news(report.machine) &&
           lag_s_ < c::lag_no_hold_s) {
        net::Timer timer(io_, net::seconds(std::max(until - now(), c::least_wait_s)));
        auto& held = term->held[report.machine];
        if (held) held->cancel();  // an older report of the machine: nobody waits for its answer
        held = &timer;
        co_await timer.async_wait(net::asio::as_tuple(net::asio::use_awaitable));
        if (const auto at = term->held.find(report.machine); at != term->held.end() && at->second == &timer)
            term->held.erase(at);
    }
    if (!may_answer(*term)) co_return redirect();
    // If the worker has given this report up and sent another, nobody waits for this answer: it must not
    // count as told, and without its orders it must not renew a lease.
    if (!newest()) co_return Reply{503, wire::error_answer("a newer report came meanwhile")};
    const auto orders = book.orders_for(report.machine, may_start(*term), now());
    co_return Reply{200, wire::orders_answer(term->token, orders)};
}

}  // namespace pineroad::control
