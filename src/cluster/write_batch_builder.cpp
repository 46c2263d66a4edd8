#include "cluster/write_batch_builder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "cluster/job_shards.hpp"
#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
namespace records = wire::records;

BatchLimits BatchLimits::after_rejections(int rejections, std::size_t changes,
                                          const config::Settings& settings) {
    BatchLimits limits;
    limits.changes = std::clamp<std::size_t>(changes, c::target_batch_changes,
                                             static_cast<std::size_t>(settings.max_transaction_changes));
    limits.value_bytes = settings.max_value_kb * 1024 * c::value_fill_ratio;
    limits.current_limits_in_force = rejections == 0;
    for (int rejection = 1; rejection < rejections; ++rejection) {
        limits.changes = std::max(limits.changes / 2, c::min_batch_changes);
        limits.value_bytes = limits.value_bytes / 2;
    }
    return limits;
}

WriteBatch WriteBatchBuilder::build() {
    add_machine_types();
    add_provisioning_requests();
    add_segments();
    add_finished_jobs();
    add_category_averages();
    if (!batch_.transaction.changes.empty()) add_leader_condition();
    return std::move(batch_);
}

// --- one change --------------------------------------------------------------------------------------------

bool WriteBatchBuilder::fits(std::size_t changes, std::size_t bytes) const {
    return batch_.transaction.changes.size() + changes <= limits_.changes &&
           bytes_ + bytes <= c::max_transaction_bytes;
}

void WriteBatchBuilder::put(const std::string& key, wire::Json value, std::uint64_t mod_revision,
                            std::size_t bytes) {
    batch_.transaction.conditions.push_back({key, mod_revision});
    batch_.transaction.changes.push_back({key, std::move(value), std::nullopt});
    bytes_ += bytes;
}

void WriteBatchBuilder::remove(const std::string& key, std::uint64_t mod_revision) {
    batch_.transaction.conditions.push_back({key, mod_revision});
    batch_.transaction.changes.push_back({key, std::nullopt, std::nullopt});
    bytes_ += 2 * key.size() + c::removal_overhead_bytes;
}

void WriteBatchBuilder::add_leader_condition() {
    batch_.transaction.conditions.push_back(
        {std::string(records::leader_key), dependencies_.context.leader_revision});
    spdlog::debug(
        "commit of {} changes ({} allowed): {} segments, {} jobs over, {} provisioning requests; {} jobs "
        "changed",
        batch_.transaction.changes.size(), limits_.changes, batch_.segments.size(),
        batch_.finished_jobs.size(),
        batch_.provisioning_requests ? batch_.provisioning_requests->open.size() : 0,
        dependencies_.pending_changes.jobs().size());
}

// --- records of the whole cluster --------------------------------------------------------------------------

void WriteBatchBuilder::add_machine_types() {
    const auto& types = dependencies_.machines.types();
    if (!types.needs_write()) return;
    auto value = wire::machine_types_json(types.all());
    const auto bytes = boost::json::serialize(value).size() + c::machine_types_overhead_bytes;
    if (static_cast<double>(bytes) < dependencies_.context.settings.max_value_kb * 1024)
        put(std::string(records::machine_types_key), std::move(value), types.mod_revision(), bytes);
    else
        spdlog::error("{} machine types do not fit one value of the store", types.all().size());
    batch_.has_machine_types = true;
}

void WriteBatchBuilder::add_provisioning_requests() {
    auto pending_record = dependencies_.provisioning.pending_record(limits_.value_bytes);
    if (!pending_record) return;
    put(std::string(records::provisioning_requests_key), pending_record->value, pending_record->mod_revision,
        pending_record->bytes + c::provisioning_overhead_bytes);
    for (const auto& [key, mod_revision] : pending_record->single_request_records) remove(key, mod_revision);
    batch_.provisioning_requests = std::move(pending_record);
}

void WriteBatchBuilder::add_category_averages() {
    const auto& averages = dependencies_.averages;
    if (!averages.is_write_due(dependencies_.context.now_s) || !fits(1, c::category_averages_bytes)) return;
    put(std::string(records::category_averages_key), records::category_averages_json(averages.values()),
        averages.mod_revision(), c::category_averages_bytes);
    batch_.has_category_averages = true;
}

// --- segments ----------------------------------------------------------------------------------------------

// Placements come first, because starts wait for them. Jobs share segments, so that one write serves many
// jobs: one record per job took more writes than the store accepts when dozens of tasks start per second. The
// other shards follow in order, and none is skipped for a smaller one.
void WriteBatchBuilder::add_segments() {
    const bool all_fit = add_changed_shards(true) && add_changed_shards(false);
    if (!all_fit) dependencies_.pending_changes.request_commit();
    add_tombstones();
    close_segment();
}

// The first shard also holds the data of the whole job, so its first write is due with the first placement of
// any shard.
bool WriteBatchBuilder::is_awaited_by_starts(const Job& job, std::uint32_t shard_number,
                                             const ProgressShard& shard) {
    const bool is_unwritten_first_shard = shard_number == 0 && shard.segment.empty();
    const auto placements = is_unwritten_first_shard
                                ? PlacementRange{job.placements.begin(), job.placements.end()}
                                : placements_in_shard(job, shard_number);
    return std::any_of(placements.begin(), placements.end(),
                       [&](const auto& entry) { return entry.second.version > shard.durable_version; });
}

bool WriteBatchBuilder::add_changed_shards(bool awaited_by_starts) {
    for (const auto& id : dependencies_.pending_changes.jobs()) {
        Job& job = dependencies_.jobs.at(id);
        if (job.phase != JobPhase::active) continue;
        for (const auto& [shard_number, shard] : job.shards) {
            if (!shard.is_changed() || is_awaited_by_starts(job, shard_number, shard) != awaited_by_starts)
                continue;
            // Keeps the entry of the whole job: a new leader would miss the placements that only it holds.
            if (shard_number == 0 && !job.shards_in_unsharded_entry.empty()) continue;
            if (!add_shard(job, shard_number, shard)) return false;
        }
    }
    return true;
}

bool WriteBatchBuilder::add_shard(Job& job, std::uint32_t shard_number, const ProgressShard& shard) {
    const records::EntryName entry{job.id, shard_number};
    auto value = records::progress_json(progress_of_shard(job, shard_number), shard_number);
    const auto name = records::entry_name(entry);
    const auto bytes = boost::json::serialize(value).size() + name.size() + c::segment_entry_overhead_bytes;
    if (!fits_in_value(entry, bytes)) return true;
    const bool fills_segment = static_cast<double>(open_segment_bytes_ + bytes) > limits_.value_bytes;
    if (!open_segment_entries_.empty() && fills_segment) close_segment();
    // Half of the changes are reserved for records that users wait for.
    const bool segments_fill_half = (batch_.segments.size() + 1) * 2 > limits_.changes;
    if (!fits(2, open_segment_bytes_ + bytes + c::segment_reserve_bytes) || segments_fill_half) return false;
    open_segment_bytes_ += bytes;
    open_segment_[name] = std::move(value);
    open_segment_entries_.push_back(entry);
    batch_.written_shards.push_back({job.id, shard_number, shard.version});
    if (shard_number == 0 && job.progress_revision) {
        remove(records::progress_key(job.id), job.progress_revision);
        batch_.removal_candidates.push_back(job.id);
    }
    return true;
}

// An entry that an earlier version wrote under a larger limit may not fit until its job may be sharded. It is
// written under the limit currently in force until a batch is rejected; then the job waits until it is
// sharded.
bool WriteBatchBuilder::fits_in_value(const records::EntryName& entry, std::size_t bytes) const {
    const double current_bytes =
        dependencies_.context.settings.current_max_value_kb * 1024 * c::value_fill_ratio;
    if (static_cast<double>(bytes) <= limits_.value_bytes) return true;
    if (limits_.current_limits_in_force && static_cast<double>(bytes) <= current_bytes) return true;
    spdlog::error("the entry {} of {} bytes does not fit a value of the store", records::entry_name(entry),
                  bytes);
    return false;
}

void WriteBatchBuilder::add_tombstones() {
    if (open_segment_entries_.empty()) return;
    for (const auto& entry : dependencies_.segments.pending_tombstones()) {
        const auto name = records::entry_name(entry);
        if (static_cast<double>(open_segment_bytes_ + name.size() + c::tombstone_reserve_bytes) >=
            limits_.value_bytes)
            break;
        open_segment_[name] = nullptr;
        open_segment_entries_.push_back(entry);
        open_segment_bytes_ += name.size() + c::segment_entry_overhead_bytes;
        batch_.tombstones.push_back(entry);
    }
}

void WriteBatchBuilder::close_segment() {
    if (open_segment_entries_.empty()) return;
    const auto name = dependencies_.segments.writable_segment(reserved_segments_);
    const auto sequence = dependencies_.segments.next_sequence();
    put(records::segment_key(name), records::segment_json(sequence, std::move(open_segment_)),
        dependencies_.segments.mod_revision(name), open_segment_bytes_ + c::segment_overhead_bytes);
    batch_.segments.push_back({name, sequence, std::move(open_segment_entries_)});
    reserved_segments_.push_back(name);
    open_segment_ = {};
    open_segment_entries_.clear();
    open_segment_bytes_ = 0;
}

// --- finished jobs -----------------------------------------------------------------------------------------

// Jobs that are done come first, because others may wait for them. Jobs cancelled by a dependency follow,
// because all controllers report them as cancelled already.
void WriteBatchBuilder::add_finished_jobs() {
    const auto& changed = dependencies_.pending_changes.jobs();
    const std::vector<std::string> ids(changed.begin(), changed.end());
    for (const bool cancelled_by_dependency : {false, true})
        for (const auto& id : ids) {
            Job& job = dependencies_.jobs.at(id);
            if ((job.phase == JobPhase::cancelled_by_dependency) != cancelled_by_dependency) continue;
            if (!add_finished_job(job)) return;
        }
}

bool WriteBatchBuilder::add_finished_job(Job& job) {
    if (job.needs_final_record()) {
        const auto status =
            job.phase == JobPhase::completing ? model::FinalStatus::done : model::FinalStatus::cancelled;
        if (!add_outcome(job, status)) {
            dependencies_.pending_changes.request_commit();
            return false;
        }
    } else if (!job.is_finished() || !job.placements.empty()) {
        return true;  // written in a segment, or nothing to write until the last task has ended
    }
    if (job.placements.empty()) {
        if (job.progress_revision) {
            if (!fits(1, c::progress_removal_bytes)) return false;
            remove(records::progress_key(job.id), job.progress_revision);
        }
        batch_.removal_candidates.push_back(job.id);
    }
    batch_.written_shards.push_back({job.id, std::nullopt, job.version});
    return true;
}

// Requests exactly the changes that it needs. When it always requested three, batches whose segments left
// only two delayed the final states of jobs by minutes in a burst.
bool WriteBatchBuilder::add_outcome(Job& job, model::FinalStatus status) {
    const auto dependency_records = job.spec->dependency_records;
    const std::size_t changes = (job.progress_revision ? 3 : 2) + dependency_records;
    if (!fits(changes, c::outcome_reserve_bytes + c::dependency_removal_bytes * dependency_records))
        return false;
    // A user's cancellation compares the same revision, so only one of the two can be committed.
    remove(records::job_key(job.id), job.mod_revision);
    for (std::uint32_t record_number = 1; record_number <= dependency_records; ++record_number)
        batch_.transaction.changes.push_back(
            {records::dependencies_key(job.id, record_number), std::nullopt, std::nullopt});
    const model::JobOutcome outcome{status, std::max<std::int64_t>(dependencies_.context.wall_ms(), 0)};
    put(records::outcome_key(job.id), records::outcome_json(outcome), 0, c::outcome_bytes);
    batch_.finished_jobs.push_back({job.id, outcome});
    return true;
}

}  // namespace pineroad::cluster
