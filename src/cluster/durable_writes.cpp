#include "cluster/durable_writes.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "config/constants.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::cluster {

namespace c = constants;
namespace records = wire::records;

bool DurableWrites::is_due() const {
    return dependencies_.machines.types().needs_write() ||
           dependencies_.pending_changes.is_write_due(dependencies_.context.now_s);
}

std::optional<WriteBatch> DurableWrites::next_batch(std::size_t changes) {
    dependencies_.pending_changes.begin_batch();
    const auto limits = BatchLimits::after_rejections(rejections_, changes, dependencies_.context.settings);
    WriteBatchBuilder builder(dependencies_, limits);
    auto batch = builder.build();
    if (!batch.transaction.changes.empty()) return batch;
    // Jobs without any record in the store are removed without a transaction.
    if (!batch.written_shards.empty()) apply_commit(batch, 0, 0);
    return std::nullopt;
}

bool DurableWrites::record_rejection() {
    ++rejections_;
    dependencies_.pending_changes.request_commit();
    return rejections_ <= c::max_rejected_batches;
}

void DurableWrites::apply_commit(const WriteBatch& batch, std::uint64_t revision, std::int64_t wall_ms) {
    const double now = dependencies_.context.now_s;
    for (const auto& written : batch.written_shards) {
        auto machines = dependencies_.jobs.apply_commit(written);
        std::move(machines.begin(), machines.end(), std::back_inserter(machines_with_durable_placements_));
    }
    apply_legacy_progress_removals(batch);
    for (const auto& segment : batch.segments) dependencies_.segments.apply_commit(segment, revision);
    for (const auto& entry : batch.tombstones) dependencies_.segments.mark_tombstone_written(entry);
    for (const auto& finished : batch.finished_jobs) apply_outcome(finished, wall_ms);
    for (const auto& id : batch.removal_candidates) remove_if_finished(id);
    if (batch.provisioning_requests)
        dependencies_.provisioning.apply_commit(*batch.provisioning_requests, revision);
    if (batch.has_machine_types) dependencies_.machines.types().apply_commit(revision);
    if (batch.has_category_averages) dependencies_.averages.apply_commit(revision, now);
    dependencies_.pending_changes.restart_deferral(now);
    dependencies_.segments.compact();
}

void DurableWrites::apply_legacy_progress_removals(const WriteBatch& batch) {
    for (const auto& change : batch.transaction.changes) {
        const auto id = records::strip_prefix(change.key, records::progress_prefix);
        if (!id) continue;
        if (Job* job = dependencies_.jobs.find(*id)) job->progress_revision = 0;
    }
}

void DurableWrites::apply_outcome(const FinishedJob& finished, std::int64_t wall_ms) {
    Job* job = dependencies_.jobs.find(finished.job);
    if (!job) return;
    job->apply_final_status(finished.outcome.status);
    if (finished.outcome.status == model::FinalStatus::cancelled) return;
    spdlog::info("job {} done (term {})", job->id, dependencies_.context.fencing_token);
    const double turnaround_s =
        static_cast<double>(wall_ms - dependencies_.jobs.waiting_since_ms(*job)) / 1000.0;
    const double slowdown = std::max(1.0, turnaround_s / std::max(job->spec->estimate_s, 1.0));
    dependencies_.averages.add(scheduling::category(*job->spec, dependencies_.context.tuning), slowdown);
}

void DurableWrites::remove_if_finished(const std::string& id) {
    const Job* job = dependencies_.jobs.find(id);
    if (!job || !job->is_finished() || !job->placements.empty() || job->progress_revision != 0) return;
    dependencies_.segments.add_tombstones(id);
    dependencies_.jobs.remove(id);
}

std::vector<std::string> DurableWrites::take_machines_with_durable_placements() {
    return std::exchange(machines_with_durable_placements_, {});
}

}  // namespace pineroad::cluster
