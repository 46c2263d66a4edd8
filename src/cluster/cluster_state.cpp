#include "cluster/cluster_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
namespace records = wire::records;
using model::Command;
using model::ExitCause;
using model::TaskState;

ClusterState::ClusterState(const config::Settings& settings, const config::Tuning& tuning,
                           std::uint64_t fencing_token, std::uint64_t leader_revision, double now)
    : settings_(settings),
      tuning_(tuning),
      fencing_token_(fencing_token),
      leader_revision_(leader_revision),
      provisioning_(fencing_token),
      term_start_(now),
      silence_counts_from_(now),
      last_heartbeat_(now),
      now_(now),
      last_preemption_(now) {}

// --- taking over -------------------------------------------------------------------------------------------

void ClusterState::load(const store::WatchCache& watch_cache, double now, std::int64_t wall_ms) {
    now_ = now;
    wall_offset_ms_ = wall_ms - static_cast<std::int64_t>(now * 1000);
    dependencies_ = &watch_cache.dependencies();
    if (watch_cache.machine_types)
        machine_types_ = watch_cache.machine_types->value,
        machine_types_revision_ = watch_cache.machine_types->mod_revision;
    category_averages_ = watch_cache.category_averages.value,
    averages_revision_ = watch_cache.category_averages.mod_revision;
    for (const auto& [id, job] : watch_cache.jobs) job_added(job.value, job.mod_revision, now);
    for (const auto& [name, p] : watch_cache.progress) load_entry(watch_cache, name, p);
    load_segments(watch_cache);
    provisioning_.load(watch_cache);
    for (auto& [id, job] : jobs_) {
        if (!job.spec)
            job_cancelled(id, now);
        else if (job.record.done_count() >= job.spec->task_count)
            job.finished = true, mark_changed(job);
        else
            load_unsharded_entries(job);
    }
    for (const auto& id : dependencies_->cancelled()) job_cancelled_by_dependency(id, now);
}

void ClusterState::load_segments(const store::WatchCache& watch_cache) {
    for (const auto& [name, s] : watch_cache.segments) {
        segments_[name] = {s.mod_revision, s.sequence, s.entries};
        for (const auto& entry : s.entries) {
            ++segment_references_[entry];
            auto& last = latest_segment_[entry];
            if (last.empty() || watch_cache.segments.at(last).sequence < s.sequence) last = name;
        }
    }
}

void ClusterState::load_entry(const store::WatchCache& watch_cache, const records::EntryName& name,
                              const store::WatchCache::Progress& progress) {
    Job& job = jobs_[name.job];
    job.id = name.job;
    const auto& entry = progress.value;
    job.record.done += entry.done;
    job.record.next_attempt = std::max(job.record.next_attempt, entry.next_attempt);
    if (name.shard == 0) {
        job.record.checkpointed_run_s = entry.checkpointed_run_s;
        job.record.task_resources = entry.task_resources;
        job.record.team = entry.team;
        if (progress.segment.empty()) job.progress_revision = progress.mod_revision;  // a record of its own
    }
    job.sharded |= entry.partial;
    job.shards[name.shard].segment = progress.segment;
    for (const auto& p : entry.placements) {
        if (!watch_cache.is_current(name, p)) continue;
        TaskPlacement s;
        s.index = p.index, s.attempt = p.attempt, s.machine = p.machine;
        s.presence = Presence::inherited;
        add_placement(job, std::move(s));
        job.latest_attempt = std::max(job.latest_attempt, p.attempt);
    }
}

// An earlier term was about to replace an entry of the whole job, and had written some parts.
void ClusterState::load_unsharded_entries(Job& job) {
    if (!job.sharded || !job.shards.contains(0)) return;
    auto missing = further_shards(job);
    std::erase_if(missing, [&](std::uint32_t shard) { return job.shards.contains(shard); });
    for (const auto shard : missing) mark_changed(job, shard * c::tasks_per_shard);
    job.shards_in_unsharded_entry = std::move(missing);
}

// --- events ------------------------------------------------------------------------------------------------

void ClusterState::job_added(const model::JobSpec& spec, std::uint64_t mod_revision, double now) {
    Job& job = jobs_[spec.id];
    if (job.spec) return;
    job.id = spec.id;
    job.spec = spec;
    job.mod_revision = mod_revision;
    job.waiting_since_s = now;
    job.record.task_resources = spec.task_resources;
    job.record.team = spec.team;
}

void ClusterState::job_cancelled(const std::string& id, double) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.cancelled || it->second.final_durable) return;
    Job& job = it->second;
    job.cancelled = true;
    job.finished = false;
    // Starts not sent yet are never sent: nothing runs under such placements.
    for (auto it = job.placements.begin(); it != job.placements.end();) {
        const auto at = it++;
        if (at->second.is_unsent()) remove_placement(job, at);
    }
    stop_job(job, 0);
    mark_changed(job);
    urgent_ = true;
    spdlog::info("job {} cancelled, {} tasks to go (term {})", id, job.placements.size(), fencing_token_);
}

void ClusterState::job_cancelled_by_dependency(const std::string& id, double now) {
    now_ = now;
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.cancelled || it->second.cancelled_by_dependency ||
        it->second.final_durable)
        return;
    it->second.cancelled_by_dependency = true;
    mark_changed(it->second);
    spdlog::info("job {} withdrawn with a job that it depends on (term {})", id, fencing_token_);
}

bool ClusterState::may_run(const Job& job) const {
    if (!job.spec || job.cancelled || job.finished || job.cancelled_by_dependency) return false;
    return job.spec->dependencies.empty() || dependencies_->is_ready(job.id);
}

// --- workers -----------------------------------------------------------------------------------------------

Machine& ClusterState::machine(const std::string& id) {
    auto [it, fresh] = machines_.try_emplace(id);
    if (fresh) {
        it->second.id = id;
        it->second.provisioned_at_s = now_;
        it->second.idle_since_s = now_;
        it->second.last_heartbeat_s = now_;
    }
    return it->second;
}

const model::MachineType* ClusterState::type(const std::string& name) const {
    for (const auto& t : machine_types_)
        if (t.name == name) return &t;
    return nullptr;
}

TaskPlacement& ClusterState::add_placement(Job& job, TaskPlacement placement) {
    const auto index = placement.index;
    machine(placement.machine).tasks.emplace_back(&job, index);
    return job.placements[index] = std::move(placement);
}

TaskPlacement ClusterState::remove_placement(Job& job, Placements::iterator at) {
    TaskPlacement s = std::move(at->second);
    job.placements.erase(at);
    if (const auto m = machines_.find(s.machine); m != machines_.end())
        std::erase(m->second.tasks, PlacedTask{&job, s.index});
    return s;
}

// --- cloud -------------------------------------------------------------------------------------------------

bool ClusterState::set_machine_types(const std::vector<model::MachineType>& types) {
    bool same = types.size() == machine_types_.size() && machine_types_revision_ != 0;
    for (std::size_t i = 0; same && i < types.size(); ++i) {
        const auto &a = types[i], &b = machine_types_[i];
        same = a.name == b.name && a.capacity.cpus == b.capacity.cpus && a.capacity.gpus == b.capacity.gpus &&
               a.capacity.memory_gb == b.capacity.memory_gb && a.zones == b.zones;
    }
    machine_types_ = types;  // prices move; only the shape of the fleet is written down
    if (!same) machine_types_changed_ = true;
    return !same;
}

void ClusterState::machines_provisioned(const std::string& name, const std::vector<std::string>& ids,
                                        double now) {
    now_ = now;
    const auto r = provisioning_.record_answer(name, ids.size(), now);
    if (!r) return;
    for (const auto& id : ids) {
        if (released_machines_.contains(id)) continue;
        Machine& m = machine(id);
        if (m.type.empty()) m.type = r->type, m.zone = r->zone, m.spot = r->spot;
    }
}

void ClusterState::provisioning_refused(const std::string& name, double now) {
    provisioning_.record_refusal(name, now);
    last_capacity_ = 0;  // look at the other pools at once
}

std::vector<std::string> ClusterState::machines_to_release(double) const {
    std::vector<std::string> out;
    for (const auto& [id, m] : machines_)
        if (m.releasing && out.size() < static_cast<std::size_t>(c::max_machines_per_release))
            out.push_back(id);
    return out;
}

void ClusterState::machines_released(const std::vector<std::string>& ids, double now) {
    now_ = now;
    for (const auto& id : ids) {
        if (released_machines_.insert(id).second) release_order_.emplace_back(now, id);
        const auto it = machines_.find(id);
        if (it == machines_.end()) continue;
        for (const auto& [job, index] : std::vector(it->second.tasks))
            mark_lost(*job, index, "its machine is gone");
        machines_.erase(it);
    }
}

void ClusterState::apply_machine_list(const std::vector<model::ListedMachine>& list, double now) {
    now_ = now;
    std::set<std::string> seen;
    for (const auto& l : list) {
        seen.insert(l.id);
        if (released_machines_.contains(l.id)) continue;  // the list lags
        const bool fresh = !machines_.contains(l.id);
        Machine& m = machine(l.id);
        if (fresh) spdlog::info("machine {} found in the list (term {})", l.id, fencing_token_);
        if (!m.has_reported()) m.type = l.type, m.zone = l.zone, m.spot = l.spot;
        if (m.address.empty()) m.address = l.address;
        m.provisioned_at_s = std::min(m.provisioned_at_s, now - l.age_s);
        m.listed_status = l.status;
        m.missing_since_s.reset();
    }
    // Whatever ran a task in an earlier term is older than the list's lag by now: not listed, it is gone.
    const bool caught_up = now - term_start_ > 2 * settings_.list_lag_s + c::list_period_s;
    for (auto& [id, m] : machines_) {
        const bool known = m.listed_status || (caught_up && !m.has_reported() && !m.tasks.empty());
        if (known && !seen.contains(id) && !m.missing_since_s) m.missing_since_s = now;
    }
}

}  // namespace pineroad::cluster
