#include "cluster/state_loader.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace pineroad::cluster {

void StateLoader::load(const store::WatchCache& watch_cache, double now) {
    dependencies_.jobs.set_dependencies(watch_cache.dependencies());
    dependencies_.machines.types().load(watch_cache);
    dependencies_.averages.load(watch_cache);
    for (const auto& [id, job] : watch_cache.jobs) dependencies_.jobs.add(job.value, job.mod_revision, now);
    for (const auto& [name, progress] : watch_cache.progress) load_progress(watch_cache, name, progress);
    dependencies_.segments.load(watch_cache);
    dependencies_.provisioning.load(watch_cache);
    for (const auto& [id, job] : std::as_const(dependencies_.jobs).all())
        reconcile_job(dependencies_.jobs.at(id));
    for (const auto& id : watch_cache.dependencies().cancelled())
        dependencies_.task_lifecycle.cancel_job_by_dependency(id);
}

void StateLoader::load_progress(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                                const store::WatchCache::Progress& progress) {
    Job& job = dependencies_.jobs.find_or_add(name.job);
    const auto& entry = progress.value;
    job.progress.done += entry.done;
    job.progress.next_attempt = std::max(job.progress.next_attempt, entry.next_attempt);
    if (name.shard == 0) {
        job.progress.checkpointed_run_s = entry.checkpointed_run_s;
        job.progress.task_resources = entry.task_resources;
        job.progress.team = entry.team;
        const bool has_own_record = progress.segment.empty();
        if (has_own_record) job.progress_revision = progress.mod_revision;
    }
    job.sharded |= entry.covers_one_shard;
    job.shards[name.shard].segment = progress.segment;
    load_placements(watch_cache, name, entry, job);
}

// A task counts as running where it was placed until it is proven not to run there.
void StateLoader::load_placements(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                                  const model::Progress& entry, Job& job) {
    for (const auto& stored : entry.placements) {
        if (!watch_cache.is_current(name, stored)) continue;
        TaskPlacement placement;
        placement.index = stored.index;
        placement.attempt = stored.attempt;
        placement.machine = stored.machine;
        placement.presence = Presence::inherited;
        dependencies_.task_lifecycle.place(job, std::move(placement));
        job.latest_attempt = std::max(job.latest_attempt, stored.attempt);
    }
}

void StateLoader::reconcile_job(Job& job) {
    if (!job.spec) {
        dependencies_.task_lifecycle.cancel_job(job.id);
    } else if (job.complete_if_all_tasks_done()) {
        dependencies_.jobs.mark_changed(job);
    } else {
        dependencies_.jobs.resume_sharding(job);
    }
}

}  // namespace pineroad::cluster
