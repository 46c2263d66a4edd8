#include "api/job_writer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

#include "config/constants.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::api {

namespace c = constants;
namespace records = wire::records;
using store::CommitStatus;

namespace {

// Returns a transaction without changes that fails if the job was already accepted.
wire::Transaction transaction_for_new_job(const std::string& id) {
    wire::Transaction transaction;
    transaction.conditions = {{records::job_key(id), 0}, {records::outcome_key(id), 0}};
    return transaction;
}

// Returns the transaction that accepts the job, or nothing if the job exceeds the store's limits.
std::optional<wire::Transaction> acceptance_transaction(const model::JobSpec& spec,
                                                        const config::Settings& settings) {
    const auto value_bytes = static_cast<std::size_t>(settings.max_value_kb * 1024 * c::value_fill_ratio);
    auto job_records = records::job_records(spec, value_bytes, c::max_dependency_records);
    if (!job_records) return std::nullopt;
    auto transaction = transaction_for_new_job(spec.id);
    transaction.changes = {{records::job_key(spec.id), std::move(job_records->job), std::nullopt}};
    std::uint32_t number = 0;
    for (auto& record : job_records->dependencies)
        transaction.changes.push_back(
            {records::dependencies_key(spec.id, ++number), std::move(record), std::nullopt});
    return transaction;
}

// Returns the transaction that accepts the job and records it as cancelled.
wire::Transaction cancelled_acceptance_transaction(const model::JobSpec& spec) {
    const model::JobOutcome outcome{model::FinalStatus::cancelled, spec.accepted_ms};
    auto transaction = transaction_for_new_job(spec.id);
    transaction.changes = {{records::outcome_key(spec.id), records::outcome_json(outcome), std::nullopt}};
    return transaction;
}

wire::Transaction cancellation_transaction(const store::Versioned<model::JobSpec>& job,
                                           const model::JobOutcome& outcome) {
    const auto& id = job.value.id;
    wire::Transaction transaction;
    transaction.conditions = {{records::job_key(id), job.mod_revision}, {records::outcome_key(id), 0}};
    transaction.changes = {{records::job_key(id), std::nullopt, std::nullopt},
                           {records::outcome_key(id), records::outcome_json(outcome), std::nullopt}};
    for (std::uint32_t number = 1; number <= job.value.dependency_records; ++number)
        transaction.changes.push_back({records::dependencies_key(id, number), std::nullopt, std::nullopt});
    return transaction;
}

}  // namespace

JobWriter::JobWriter(const config::Settings& settings, store::StoreClient& store,
                     store::WatchCache& watch_cache)
    : settings_(settings), store_(store), watch_cache_(watch_cache) {}

net::awaitable<AcceptanceStatus> JobWriter::accept(model::JobSpec spec) {
    spec.accepted_ms = net::Clock::wall_ms();
    // A job that depends on a cancelled job is cancelled as soon as it is accepted.
    const bool cancelled =
        std::any_of(spec.dependencies.begin(), spec.dependencies.end(), [&](const std::string& dependency) {
            return watch_cache_.outcome_of(dependency) == model::FinalStatus::cancelled;
        });
    const auto transaction =
        cancelled ? cancelled_acceptance_transaction(spec) : acceptance_transaction(spec, settings_);
    if (!transaction) co_return AcceptanceStatus::too_large;
    const auto result = co_await store_.commit(wire::commit_request(*transaction));
    switch (result.status) {
        case CommitStatus::committed:
            break;
        case CommitStatus::conflict:
            co_return AcceptanceStatus::conflict;
        case CommitStatus::malformed:
            spdlog::error("the store refused job {}: {}", spec.id, result.body);
            co_return AcceptanceStatus::too_large;
        default:
            co_return AcceptanceStatus::uncertain;
    }
    if (cancelled)
        watch_cache_.record_outcome(spec.id, {model::FinalStatus::cancelled, spec.accepted_ms},
                                    result.revision);
    spdlog::info("job {} accepted: {} tasks of class {}, team {}{}", spec.id, spec.task_count, spec.job_class,
                 spec.team, cancelled ? ", cancelled with one that it depends on" : "");
    co_return AcceptanceStatus::accepted;
}

net::awaitable<CancellationResult> JobWriter::cancel(const store::Versioned<model::JobSpec>& job) {
    // Copied, because the job may leave the watch cache during the commit, which would invalidate the
    // reference.
    const std::string id = job.value.id;
    const model::JobOutcome outcome{model::FinalStatus::cancelled, net::Clock::wall_ms()};
    const auto transaction = cancellation_transaction(job, outcome);
    const auto result = co_await store_.commit(wire::commit_request(transaction));
    if (result.status == CommitStatus::conflict) co_return CancellationResult{CancellationStatus::conflict};
    if (result.status != CommitStatus::committed) co_return CancellationResult{};
    watch_cache_.record_outcome(id, outcome, result.revision);
    spdlog::info("job {} cancelled by its user", id);
    co_return CancellationResult{CancellationStatus::cancelled, result.revision};
}

}  // namespace pineroad::api
