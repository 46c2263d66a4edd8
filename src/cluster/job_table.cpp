#include "cluster/job_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "cluster/job_shards.hpp"
#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;

Job* JobTable::find(const std::string& id) {
    const auto job = jobs_.find(id);
    return job == jobs_.end() ? nullptr : &job->second;
}

const Job* JobTable::find(const std::string& id) const {
    const auto job = jobs_.find(id);
    return job == jobs_.end() ? nullptr : &job->second;
}

Job& JobTable::find_or_add(const std::string& id) {
    Job& job = jobs_[id];
    job.id = id;
    return job;
}

void JobTable::add(const model::JobSpec& spec, std::uint64_t mod_revision, double now) {
    Job& job = find_or_add(spec.id);
    if (job.spec) return;
    job.spec = spec;
    job.mod_revision = mod_revision;
    job.waiting_since_s = now;
    job.progress.task_resources = spec.task_resources;
    job.progress.team = spec.team;
}

void JobTable::remove(const std::string& id) {
    pending_changes_.remove(id);
    jobs_.erase(id);
}

bool JobTable::may_run(const Job& job) const {
    if (!job.spec || job.phase != JobPhase::active) return false;
    return job.spec->dependencies.empty() || dependencies_->is_ready(job.id);
}

std::int64_t JobTable::waiting_since_ms(const Job& job) const {
    const auto ready = dependencies_->ready_since_ms(job.id);
    return std::max(job.spec->accepted_ms, ready.value_or(0));
}

bool JobTable::may_shard(const model::JobSpec& spec) const {
    return sharding_allowed_ && spec.task_count > c::tasks_per_shard;
}

void JobTable::mark_changed(Job& job, std::uint32_t task) {
    if (job.spec && !job.sharded && may_shard(*job.spec)) split_into_shards(job);
    ++job.version;
    job.shards[shard_of(job, task)].version = job.version;
    // The first shard holds the fields of the whole job, so it must exist whenever another shard does.
    if (ProgressShard& first = job.shards[0]; first.segment.empty()) first.version = job.version;
    pending_changes_.mark_changed(job.id, context_.now_s);
}

// Shards jobs with pending changes immediately: a whole job may be too large for one entry.
void JobTable::allow_sharding() {
    if (std::exchange(sharding_allowed_, true)) return;
    for (const auto& id : std::set(pending_changes_.jobs())) mark_changed(jobs_.at(id));
}

// Splits the single entry of the job into one entry per shard. Durable state stays durable throughout,
// because the entry of the whole job is replaced last.
void JobTable::split_into_shards(Job& job) {
    job.sharded = true;
    const ProgressShard unsharded = job.shards[0];
    const bool has_entry = !unsharded.segment.empty() || job.progress_revision != 0;
    for (const auto shard_number : shards_beyond_first(job)) {
        ProgressShard& shard = job.shards[shard_number];
        shard.durable_version = unsharded.durable_version;
        shard.version = job.version + 1;
        if (has_entry) job.shards_in_unsharded_entry.insert(shard_number);
    }
    job.shards[0].version = ++job.version;
}

void JobTable::resume_sharding(Job& job) {
    if (!job.sharded || !job.shards.contains(0)) return;
    auto missing = shards_beyond_first(job);
    std::erase_if(missing, [&](std::uint32_t shard_number) { return job.shards.contains(shard_number); });
    for (const auto shard_number : missing) mark_changed(job, shard_number * c::tasks_per_shard);
    job.shards_in_unsharded_entry = std::move(missing);
}

std::vector<std::string> JobTable::apply_commit(const WrittenShard& written) {
    std::vector<std::string> machines;
    Job* job = find(written.job);
    if (!job) return machines;
    for (auto& [shard_number, shard] : job->shards) {
        if (written.shard && *written.shard != shard_number) continue;
        for (const auto& [task, placement] : placements_in_shard(*job, shard_number))
            if (placement.version > shard.durable_version && placement.version <= written.version)
                machines.push_back(placement.machine);
        shard.durable_version = std::max(shard.durable_version, written.version);
        job->shards_in_unsharded_entry.erase(shard_number);
    }
    const bool still_changed = std::any_of(job->shards.begin(), job->shards.end(),
                                           [](const auto& entry) { return entry.second.is_changed(); });
    if (!still_changed) pending_changes_.remove(job->id);
    return machines;
}

}  // namespace pineroad::cluster
