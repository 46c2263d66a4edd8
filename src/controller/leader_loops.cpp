// The loops of a term: commits, planning, the cloud, and the reports of workers.
#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "controller/controller.hpp"

namespace pineroad::controller {

namespace c = constants;
namespace records = wire::records;
using net::Reply;
using net::sleep_for;

std::vector<leadership::PeerStoreContact> Controller::store_contacts() const {
    std::vector<leadership::PeerStoreContact> contacts;
    for (const auto& p : peers_) contacts.push_back(p.contact());
    return contacts;
}

bool Controller::heartbeats_reach_peer() const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const PeerContact& p) {
        return p.contacted_at > now() - 3 && p.last.heartbeat_age_ms < 4000 && p.last.uptime_ms > 4000;
    });
}

void Controller::start_term() {
    spawn(commit_loop(term_));
    spawn(plan_loop(term_));
    spawn(machine_list_loop(term_));
    spawn(machine_types_loop(term_));
    spawn(provisioning_loop(term_));
    spawn(release_loop(term_));
    spawn(format_loop(term_));
}

double Controller::last_heartbeat() const {
    return term_->cluster_state.last_heartbeat();
}

void Controller::finish() {
    watch_cache_.on_job = nullptr;
    watch_cache_.on_cancelled = nullptr;
    watch_cache_.on_dependencies = nullptr;
    term_.reset();
}

bool Controller::prepare(const std::shared_ptr<leadership::Term>& won) {
    if (!watch_cache_.leader || watch_cache_.leader->value.nonce != won->identity().nonce) return false;
    won->set_mod_revision(watch_cache_.leader->mod_revision);
    auto prepared = std::make_shared<LeaderTerm>(won, settings_, tuning_);
    LeaderTerm& term = *prepared;
    cluster::ClusterState& cluster_state = term.cluster_state;
    cluster_state.load(watch_cache_, now(), wall_ms());
    // What a peer named since the mirror was read counts too: the proof stands on it.
    if (const auto named = watch_cache_.cancellations().after(watch_cache_.revision))
        for (const auto& [revision, id] : *named) cluster_state.job_cancelled(id, now());
    else
        return false;
    watch_cache_.on_job = [this, &cluster_state, &term](const model::JobSpec& spec,
                                                        std::uint64_t mod_revision) {
        cluster_state.job_added(spec, mod_revision, now());
        term.writes.record_writes_of_others(1);
        term.term->plan_due.notify();
    };
    watch_cache_.on_cancelled = [this, &cluster_state, &term](const std::string& id, bool fresh) {
        const bool by_user =
            cluster_state.jobs().contains(id);  // what this term ended itself is gone from the book
        cluster_state.job_cancelled(id, now());
        if (fresh && by_user) term.writes.record_writes_of_others(2);
        term.term->plan_due.notify();
    };
    watch_cache_.on_dependencies = [this, &cluster_state,
                                    &term](const model::DependencyGraph::Change& change) {
        for (const auto& id : change.cancelled) cluster_state.job_cancelled_by_dependency(id, now());
        term.term->plan_due.notify();
    };
    spdlog::info(
        "term {}: {} jobs, {} machines with tasks, {} rentals open", won->fencing_token(),
        cluster_state.jobs().size(), cluster_state.machines().size(),
        watch_cache_.open_provisioning_requests.value.size() + watch_cache_.provisioning_records.size());
    term_ = std::move(prepared);
    return true;
}

// One transaction at a time, each conditional on the leadership key and on every record's own version, so
// that a copy applied late finds them changed. What got no answer is settled by reading back before anything
// goes on.
net::awaitable<void> Controller::commit_loop(std::shared_ptr<LeaderTerm> term) {
    cluster::ClusterState& cluster_state = term->cluster_state;
    term->writes.start(settings_.store_writes_per_s, now());
    while (!term->term->over()) {
        if (const double wait = term->writes.delay_s(c::target_batch_changes, now()); wait > 0) {
            co_await sleep_for(wait + 0.005);
            continue;
        }
        if (!term->term->may_start()) {
            co_await sleep_for(0.1);
            continue;
        }
        // No more at once than the budget holds: a debt would make the next starts wait.
        auto batch = cluster_state.write_due() ? cluster_state.next_write_batch(term->writes.available(now()))
                                               : std::nullopt;
        if (!batch) {
            co_await term->term->commit_due.wait(0.5);
            continue;
        }
        const auto body = wire::commit_request(batch->txn);
        bool uncertain = false;
        while (!term->term->over()) {
            const auto reply =
                co_await store_.request("POST", std::string(wire::commit_path), body, c::commit_timeout_s);
            term->writes.record_writes(batch->txn.changes.size());
            if (term->term->over()) break;
            if (reply && reply->status == 200) {
                const auto revision = wire::parse_revision(reply->body);
                if (!revision) {
                    term->term->end(leadership::EndReason::commit_unreadable);
                    break;
                }
                apply_committed(*term, *batch, *revision);
                break;
            }
            if (!reply) {
                uncertain = true;                      // the same again: at most one copy can apply
                co_await sleep_for(c::store_retry_s);  // a refused connection answers at once
                continue;
            }
            if (reply->status == 409) {
                const auto failed = wire::parse_failed_conditions(reply->body);
                if (std::find(failed.begin(), failed.end(), records::leader_key) != failed.end()) {
                    term->term->end(leadership::EndReason::leader_key_removed);
                    break;
                }
                if (!uncertain) {
                    // A user's cancellation came first; the watch tells which.
                    co_await linearizable_read_.catch_up();
                    break;
                }
                // Applied by an earlier copy, or beaten by a cancellation. All or nothing was applied, so one
                // record tells: a written one holds our value; a dropped one (only the leader drops these) is
                // gone.
                const auto written = std::find_if(batch->txn.changes.begin(), batch->txn.changes.end(),
                                                  [](const auto& ch) { return ch.value.has_value(); });
                const auto& probe =
                    written != batch->txn.changes.end() ? *written : batch->txn.changes.front();
                const auto read = co_await store_.request("GET", wire::store_target(probe.key));
                if (!read || (read->status != 200 && read->status != 404)) {
                    co_await sleep_for(c::store_retry_s);
                    continue;
                }
                const auto row = read->status == 200 ? wire::parse_row(read->body) : std::nullopt;
                const bool applied = probe.value ? row && row->value == *probe.value : read->status == 404;
                if (applied) {
                    apply_committed(*term, *batch, row ? row->mod_revision : 0);
                } else {
                    spdlog::info("commit of {} changes was not applied (term {})", batch->txn.changes.size(),
                                 term->term->fencing_token());
                    co_await linearizable_read_.catch_up();
                }
                break;
            }
            if (reply->status == 400) {
                spdlog::error("a commit was refused as malformed: {}", reply->body);
                // Never the same again: an earlier copy may have been applied, or the limits are lower than
                // was announced.
                if (uncertain || !cluster_state.reject_write_batch())
                    term->term->end(leadership::EndReason::commit_refused);
                break;
            }
            if (reply->status == 429) term->writes.refused();
            co_await sleep_for(c::store_retry_s);  // 429, 503: not executed
        }
        for (const auto& id : cluster_state.take_machines_with_durable_starts())
            term->term->held_responses.release(id);
        term->term->cloud_due.notify();
        co_await sleep_for(c::commit_gap_s);
    }
}

// What ended is known here at once, not only by the watch: jobs may wait for it.
void Controller::apply_committed(LeaderTerm& term, const cluster::WriteBatch& batch, std::uint64_t revision) {
    term.cluster_state.apply_commit(batch, revision, now(), wall_ms());
    for (const auto& ended : batch.finished_jobs)
        watch_cache_.record_outcome(ended.job, ended.outcome, revision);
}

// The controllers that are known to read the present record format, beyond those written down: this one,
// peers that said so, and, once a user has asked for a job with dependencies, peers that are silent. Users
// ask only after every controller was replaced, so what is silent is not an earlier version that goes on.
std::set<std::string> Controller::format_readers() const {
    auto out = watch_cache_.format.value;
    out.insert(settings_.name);
    const double before = now() - c::format_silence_s;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        const auto& p = peers_[i];
        const bool silent = p.contacted_at < before && p.last_request_at < before && started_at_ < before;
        if (p.reads_format || (asked_to_depend_ && silent)) out.insert(settings_.peers[i].name);
    }
    return out;
}

bool Controller::format_agreed() const {
    const auto& readers = watch_cache_.format.value;
    return record_format_ >= records::format && readers.contains(settings_.name) &&
           std::all_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const config::Peer& p) { return readers.contains(p.name); });
}

// Writes down who reads the present record format. A process that was replaced never comes back as the
// earlier version, so the list only grows.
net::awaitable<void> Controller::format_loop(std::shared_ptr<LeaderTerm> term) {
    if (record_format_ < records::format) co_return;
    while (!term->term->over() && !format_agreed()) {
        auto readers = format_readers();
        if (term->term->may_start() && readers != watch_cache_.format.value) {
            wire::Transaction txn;
            txn.conditions = {{std::string(records::leader_key), term->term->identity().mod_revision},
                              {std::string(records::format_key), watch_cache_.format.mod_revision}};
            txn.changes = {{std::string(records::format_key), records::format_json(readers), std::nullopt}};
            co_await store_.request("POST", std::string(wire::commit_path), wire::commit_request(txn));
            co_await linearizable_read_.catch_up();
        }
        co_await sleep_for(c::format_period_s);
    }
    if (!term->term->over()) spdlog::info("every controller reads record format {}", records::format);
}

void Controller::plan(LeaderTerm& term) {
    cluster::ClusterState& cluster_state = term.cluster_state;
    if (format_agreed()) cluster_state.allow_sharding();
    if (term.term->may_start()) {
        if (std::exchange(term.lease_unprovable, false)) cluster_state.restart_silence_timers(now());
        cluster_state.detect_failures(now());
        cluster_state.plan(now(), wall_ms(), watch_cache_.demand.classes(settings_, now()));
    } else {
        term.lease_unprovable = true;
    }
    if (cluster_state.write_due()) term.term->commit_due.notify();
    queue_stops(term);
    if (!cluster_state.machines_to_release(now()).empty()) term.term->cloud_due.notify();
}

// One plan for all that was reported since the last: a plan a report costs more than the share of a processor
// holds once hundreds of machines report every second.
net::awaitable<void> Controller::plan_loop(std::shared_ptr<LeaderTerm> term) {
    while (!term->term->over()) {
        plan(*term);
        co_await sleep_for(c::plan_gap_s + std::min(event_loop_lag_s_, c::plan_period_s));
        co_await term->term->plan_due.wait(c::plan_period_s);
    }
}

// Stops go straight to the worker; the same stop follows in the next answers until a report shows it done. So
// many at once are on their way: a round that stops hundreds of tasks, or a crowd of machines that hang, must
// not take the sockets that workers report over. Tasks that save come first, since their gang has only
// gang_peer_s; what has waited longer than that is left to the answers.
void Controller::queue_stops(LeaderTerm& term) {
    for (auto& d : term.cluster_state.take_direct_commands()) {
        const bool saves = std::any_of(d.commands.begin(), d.commands.end(),
                                       [](const model::Command& o) { return o.grace_s > 0; });
        if (saves)
            term.stops.push_front({now(), std::move(d)});
        else
            term.stops.push_back({now(), std::move(d)});
    }
    while (term.stops.size() > c::max_queued_stops) term.stops.pop_back();
    send_queued(term_);
}

void Controller::send_queued(const std::shared_ptr<LeaderTerm>& term) {
    if (!term) return;
    // A stop needs no lease: it carries the token and the session, and ends only what has to end. Without the
    // state service these are the tasks of cancelled jobs.
    if (term->term->over()) term->stops.clear();
    while (!term->stops.empty() && term->max_stops_in_flight < sockets_.stops) {
        auto next = std::move(term->stops.front());
        term->stops.pop_front();
        if (now() - next.decided > settings_.gang_failure_detection_s + settings_.heartbeat_period_s)
            continue;
        ++term->max_stops_in_flight;
        net::asio::co_spawn(io_, send_stops(term, std::move(next.commands)), net::asio::detached);
    }
}

net::awaitable<void> Controller::send_stops(std::shared_ptr<LeaderTerm> term, cluster::DirectCommands d) {
    try {
        const auto worker = connect_(config::parse_endpoint(d.address));
        const auto reply = co_await worker->request(
            "POST", std::string(wire::direct_command_path),
            wire::direct_command_request(term->term->fencing_token(), d.agent_epoch, d.commands),
            c::direct_command_timeout_s);
        spdlog::debug("stops to {}: {}", d.machine, reply ? reply->status : 0);
    } catch (const std::exception& e) {
        spdlog::warn("stops to {} ({}) failed: {}", d.machine, d.address, e.what());
    }
    --term->max_stops_in_flight;
    send_queued(term);
}

// --- cloud -------------------------------------------------------------------------------------------------

// Only the leader calls the cloud; its loops share the rate.
net::awaitable<void> Controller::wait_for_cloud_slot() {
    const double gap = 1.0 / (settings_.cloud_requests_per_s * c::cloud_share);
    const double at = std::max(now(), next_cloud_slot_);
    next_cloud_slot_ = at + gap;
    if (at > now()) co_await sleep_for(at - now());
}

net::awaitable<void> Controller::machine_types_loop(std::shared_ptr<LeaderTerm> term) {
    while (!term->term->over()) {
        co_await wait_for_cloud_slot();
        const auto reply =
            co_await cloud_->request("GET", std::string(wire::machine_types_path), {}, c::cloud_timeout_s);
        if (term->term->over()) break;
        const auto doc = reply && reply->status == 200 ? wire::parse_json(reply->body) : std::nullopt;
        const auto types = doc ? wire::parse_machine_types(*doc) : std::nullopt;
        if (types && term->cluster_state.set_machine_types(*types)) {
            spdlog::info("{} machine types known", types->size());
            term->term->commit_due.notify();
        }
        co_await sleep_for(types ? c::machine_types_period_s : 1.0);
    }
}

net::awaitable<void> Controller::machine_list_loop(std::shared_ptr<LeaderTerm> term) {
    while (!term->term->over()) {
        std::vector<model::ListedMachine> all;
        std::string after;
        bool ok = true;
        for (bool more = true; more && ok && !term->term->over();) {
            co_await wait_for_cloud_slot();
            const auto reply = co_await cloud_->request("GET", wire::machine_list_target(after, 500), {},
                                                        c::cloud_timeout_s);
            auto page = reply && reply->status == 200 ? wire::parse_machine_list(reply->body) : std::nullopt;
            ok = page.has_value();
            if (!ok) break;
            more = page->truncated && !page->machines.empty();
            if (more) after = page->machines.back().id;
            all.insert(all.end(), page->machines.begin(), page->machines.end());
        }
        if (ok && !term->term->over()) term->cluster_state.apply_machine_list(all, now());
        co_await sleep_for(c::list_period_s);
    }
}

net::awaitable<void> Controller::provisioning_loop(std::shared_ptr<LeaderTerm> term) {
    cluster::ClusterState& cluster_state = term->cluster_state;
    while (!term->term->over()) {
        if (!cluster_state.has_provisioning_request()) {
            co_await term->term->cloud_due.wait(0.5);
            continue;
        }
        co_await wait_for_cloud_slot();
        // Asked anew after every wait: a process that stood still meanwhile holds no term any more.
        const auto rental =
            term->term->may_start() ? cluster_state.next_provisioning_request() : std::nullopt;
        if (!rental) continue;
        const auto reply = co_await cloud_->request("POST", std::string(wire::machines_path),
                                                    wire::provisioning_request(*rental), c::cloud_timeout_s);
        if (term->term->over()) break;
        const auto got =
            reply && reply->status == 200 ? wire::parse_provisioned_machines(reply->body) : std::nullopt;
        if (got) {
            cluster_state.machines_provisioned(rental->name, *got, now());
        } else if (reply && ((reply->status == 503 && reply->body.find("no capacity") != std::string::npos) ||
                             reply->status == 400)) {
            cluster_state.provisioning_refused(rental->name, now());
        } else {
            // No answer, 429 or an outage: the same name again, it rents only once.
            cluster_state.provisioning_unanswered(rental->name);
            co_await sleep_for(1.0);
        }
        term->term->plan_due.notify();
    }
}

net::awaitable<void> Controller::release_loop(std::shared_ptr<LeaderTerm> term) {
    cluster::ClusterState& cluster_state = term->cluster_state;
    while (!term->term->over()) {
        if (cluster_state.machines_to_release(now()).empty()) {
            co_await term->term->cloud_due.wait(0.5);
            continue;
        }
        co_await wait_for_cloud_slot();
        // A leader that stood still while it waited would delete machines that the next one has found alive.
        const auto machines =
            term->term->may_start() ? cluster_state.machines_to_release(now()) : std::vector<std::string>{};
        if (machines.empty()) continue;
        const auto reply = co_await cloud_->request("POST", std::string(wire::release_path),
                                                    wire::release_request(machines), c::cloud_timeout_s);
        if (term->term->over()) break;
        if (reply && reply->status == 200) {
            cluster_state.machines_released(machines, now());
            term->term->plan_due.notify();
        } else {
            co_await sleep_for(1.0);
        }
    }
}

// --- workers -----------------------------------------------------------------------------------------------

net::awaitable<Reply> Controller::handle_heartbeat(std::string body) {
    const auto parsed = wire::parse_heartbeat(body);
    if (const auto* why = std::get_if<std::string>(&parsed)) co_return Reply{400, wire::error_response(*why)};
    const auto& report = std::get<model::Heartbeat>(parsed);
    leadership_.observe(report.fencing_token, "");
    const auto term = term_;
    auto redirect = [&] {
        // A node cut off from the state service still knows an old leader; its peers may have told of a
        // newer.
        const bool known =
            watch_cache_.leader && watch_cache_.leader->value.fencing_token >= leadership_.highest_token();
        const auto& leader = known ? watch_cache_.leader->value.node : leadership_.known_leader();
        return Reply{421, wire::redirect_response(leader == settings_.name ? "" : leader)};
    };
    if (!term || !term->term->may_answer_heartbeats()) {
        last_heartbeat_ = now();
        co_return redirect();
    }
    cluster::ClusterState& cluster_state = term->cluster_state;
    // A copy of an earlier report tells nothing: not even that somebody reports here. No worker waits for
    // this answer, and it carries no orders: it must not renew a lease.
    if (!cluster_state.apply_heartbeat(report, now()))
        co_return Reply{503, wire::error_response("an older report")};
    last_heartbeat_ = now();
    term->term->plan_due.notify();
    // A start may be given only once its placement is durable, and only in the answer to a report: a moment's
    // wait saves a whole report period. A machine without work can wait longer than one whose tasks' ends are
    // news; no answer may reach the worker after 4 s.
    const bool freed = std::any_of(report.tasks.begin(), report.tasks.end(),
                                   [](const auto& t) { return t.state == model::TaskState::exited; });
    double until = now();
    if (cluster_state.has_room(report.machine, now()))
        until += c::heartbeat_hold_idle_s;
    else if (freed || !cluster_state.placements_durable(report.machine))
        until += c::heartbeat_hold_s;
    const auto newest = [&] {
        const auto m = cluster_state.machines().find(report.machine);
        return m != cluster_state.machines().end() && m->second.agent_epoch == report.agent_epoch &&
               m->second.sequence == report.sequence;
    };
    while (!term->term->over() && term->term->may_start() && newest() && now() < until &&
           !cluster_state.has_pending_commands(report.machine) &&
           event_loop_lag_s_ < c::lag_disables_hold_s) {
        net::Timer timer(io_, net::seconds(std::max(until - now(), c::min_wait_s)));
        const leadership::HeldResponses::Hold hold(term->term->held_responses, report.machine, timer);
        co_await timer.async_wait(net::asio::as_tuple(net::asio::use_awaitable));
    }
    if (!term->term->may_answer_heartbeats()) co_return redirect();
    // If the worker has given this report up and sent another, nobody waits for this answer: it must not
    // count as told, and without its orders it must not renew a lease.
    if (!newest()) co_return Reply{503, wire::error_response("a newer report came meanwhile")};
    const auto commands = cluster_state.commands_for(report.machine, term->term->may_start(), now());
    co_return Reply{200, wire::heartbeat_response(term->term->fencing_token(), commands)};
}

}  // namespace pineroad::controller
