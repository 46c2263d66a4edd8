#include "controller/commit_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::controller {

namespace c = constants;
namespace records = wire::records;
using leadership::EndReason;
using net::sleep_for;
using store::CommitStatus;
using store::steady_now_s;

namespace {
constexpr double wait_margin_s = 0.005;         // added to each wait, so that it need not be repeated
constexpr double lease_unproven_retry_s = 0.1;  // between checks whether the lease is valid again
constexpr double max_idle_wait_s = 0.5;         // longest wait for changes to commit
}  // namespace

CommitLoop::CommitLoop(const config::Settings& settings, store::StoreClient& store,
                       store::LinearizableRead& linearizable_read, store::WatchCache& watch_cache)
    : settings_(settings), store_(store), linearizable_read_(linearizable_read), watch_cache_(watch_cache) {}

net::awaitable<void> CommitLoop::run(std::shared_ptr<cluster::LeaderTerm> leader) {
    auto& term = *leader->term;
    auto& cluster_state = leader->cluster_state;
    leader->write_limiter.start(settings_.store_writes_per_s, steady_now_s());
    while (!term.ended()) {
        const double wait_s = leader->write_limiter.delay_s(c::target_batch_changes, steady_now_s());
        if (wait_s > 0) {
            co_await sleep_for(wait_s + wait_margin_s);
            continue;
        }
        if (!term.may_start_tasks()) {
            co_await sleep_for(lease_unproven_retry_s);
            continue;
        }
        // A batch never exceeds the available write budget: a deficit would delay the next task starts.
        const auto batch =
            cluster_state.write_due()
                ? cluster_state.next_write_batch(leader->write_limiter.available(steady_now_s()))
                : std::nullopt;
        if (!batch) {
            co_await term.commit_due.wait(max_idle_wait_s);
            continue;
        }
        co_await commit(leader, *batch);
        for (const auto& machine : cluster_state.take_machines_with_durable_placements())
            term.held_responses.release(machine);
        term.scaling_due.notify();
        co_await sleep_for(c::commit_interval_s);
    }
}

// The outcome of a transaction that got no response is determined before anything else is committed.
net::awaitable<void> CommitLoop::commit(std::shared_ptr<cluster::LeaderTerm> leader,
                                        const cluster::WriteBatch& batch) {
    const auto body = wire::commit_request(batch.transaction);
    bool uncertain = false;  // whether an earlier copy may have been applied
    while (!leader->term->ended()) {
        const auto result = co_await store_.commit(body, c::commit_timeout_s);
        leader->write_limiter.record_writes(batch.transaction.changes.size());
        if (leader->term->ended()) break;
        if (result.status == CommitStatus::no_response) uncertain = true;
        if (co_await handle_result(*leader, batch, result, uncertain) == RetryDecision::done) break;
        co_await sleep_for(c::store_retry_s);  // a refused connection fails immediately
    }
}

net::awaitable<CommitLoop::RetryDecision> CommitLoop::handle_result(cluster::LeaderTerm& leader,
                                                                    const cluster::WriteBatch& batch,
                                                                    const store::CommitResult& result,
                                                                    bool uncertain) {
    switch (result.status) {
        case CommitStatus::committed:
            apply(leader, batch, result.revision);
            co_return RetryDecision::done;
        case CommitStatus::unreadable:
            leader.term->end(EndReason::commit_unreadable);
            co_return RetryDecision::done;
        case CommitStatus::conflict:
            co_return co_await handle_conflict(leader, batch, result.body, uncertain);
        case CommitStatus::malformed:
            handle_malformed(leader, result.body, uncertain);
            co_return RetryDecision::done;
        case CommitStatus::rate_limited:
            leader.write_limiter.record_rate_limited();
            co_return RetryDecision::retry;
        case CommitStatus::unavailable:
        case CommitStatus::no_response:  // send it again: at most one copy can be applied
            break;
    }
    co_return RetryDecision::retry;
}

net::awaitable<CommitLoop::RetryDecision> CommitLoop::handle_conflict(cluster::LeaderTerm& leader,
                                                                      const cluster::WriteBatch& batch,
                                                                      const std::string& response_body,
                                                                      bool uncertain) {
    const auto failed_conditions = wire::parse_failed_conditions(response_body);
    if (std::find(failed_conditions.begin(), failed_conditions.end(), records::leader_key) !=
        failed_conditions.end()) {
        leader.term->end(EndReason::leader_record_lost);
        co_return RetryDecision::done;
    }
    if (!uncertain) {
        // A user's cancellation was committed first; the read brings it into the watch cache.
        co_await linearizable_read_.catch_up();
        co_return RetryDecision::done;
    }
    const auto found = co_await read_back(batch);
    switch (found.state) {
        case BatchState::applied:
            apply(leader, batch, found.revision);
            break;
        case BatchState::not_applied:
            spdlog::info("commit of {} changes was not applied (term {})", batch.transaction.changes.size(),
                         leader.term->fencing_token());
            co_await linearizable_read_.catch_up();
            break;
        case BatchState::undetermined:
            co_return RetryDecision::retry;
    }
    co_return RetryDecision::done;
}

// Either an earlier copy of the batch was applied, or a cancellation was committed first. Transactions are
// atomic, so one record is sufficient: if the batch was applied, a record that it wrote holds its value, and
// a record that it removed (only the leader removes these) is absent.
net::awaitable<CommitLoop::ReadBackResult> CommitLoop::read_back(const cluster::WriteBatch& batch) {
    const auto& changes = batch.transaction.changes;
    const auto written = std::find_if(changes.begin(), changes.end(),
                                      [](const wire::Change& change) { return change.value.has_value(); });
    const auto& probe = written != changes.end() ? *written : changes.front();
    const auto read = co_await store_.read(probe.key);
    if (read.status == store::ReadStatus::unavailable) co_return ReadBackResult{};
    const bool applied =
        probe.value ? read.row && read.row->value == *probe.value : read.status == store::ReadStatus::absent;
    if (!applied) co_return ReadBackResult{BatchState::not_applied};
    co_return ReadBackResult{BatchState::applied, read.row ? read.row->mod_revision : 0};
}

// The transaction is never sent again: either an earlier copy of it may have been applied, or the limits of
// the store are lower than announced.
void CommitLoop::handle_malformed(cluster::LeaderTerm& leader, const std::string& response_body,
                                  bool uncertain) {
    spdlog::error("the store rejected a commit as malformed: {}", response_body);
    if (uncertain || !leader.cluster_state.record_write_rejection())
        leader.term->end(EndReason::commit_rejected);
}

// Records the outcomes of finished jobs immediately instead of waiting for the watch, because other jobs may
// wait for them.
void CommitLoop::apply(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch,
                       std::uint64_t revision) {
    leader.cluster_state.apply_commit(batch, revision, steady_now_s(), net::Clock::wall_ms());
    for (const auto& finished : batch.finished_jobs)
        watch_cache_.record_outcome(finished.job, finished.outcome, revision);
}

}  // namespace pineroad::controller
