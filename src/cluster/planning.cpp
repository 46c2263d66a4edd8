// What the leader makes of its picture: machines given up, tasks placed and stopped, machines rented.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
using model::TaskState;

bool ClusterState::usable(const Machine& m, double now) const {
    return m.reporting && m.token_confirmed && !m.releasing && !m.quarantined && !m.interruption_notice_s &&
           !m.listed_failed && m.unknown_tasks.empty() &&
           now - m.last_heartbeat < c::heartbeat_periods_usable * settings_.heartbeat_period_s &&
           m.unacknowledged_commands < c::max_unacknowledged_heartbeats;
}

void ClusterState::detect_failures(double now) {
    now_ = now;
    std::size_t up = 0, heard = 0, deaf = 0;
    for (const auto& [id, m] : machines_) {
        if (!m.reporting) continue;
        ++up;
        if (now - m.last_heartbeat < 2 * settings_.heartbeat_period_s) ++heard;
        if (m.unacknowledged_commands > 0 || m.unconfirmed_since >= 0) ++deaf;
    }
    const bool others_report = heard > 0 && 2 * heard >= up;
    // Many machines that hear nothing: the fault is on this side.
    commands_reach_others_ = deaf <= std::max<std::size_t>(c::partitioned_machines_tolerated, up / 5);
    for (auto& [id, m] : machines_) {
        if (m.releasing) continue;
        // Its own lease must have ended by now; in the same session still, it was renewed: the machine hears.
        if (m.unacknowledged_commands >= c::max_unacknowledged_heartbeats &&
            m.last_heartbeat - m.unacknowledged_at > settings_.worker_lease_s)
            m.unacknowledged_commands = 0;
        if (const char* why = reason_to_release(m, others_report, now)) {
            spdlog::info("machine {} released: {} (term {})", m.id, why, fencing_token_);
            m.releasing = true;
        }
    }
    withdraw_unsent_starts(now);
    while (!release_order_.empty() && (now - release_order_.front().first > c::released_machine_retention_s ||
                                       release_order_.size() > c::max_released_machines)) {
        released_machines_.erase(release_order_.front().second);
        release_order_.pop_front();
    }
}

// Why a machine is lost, or nothing. `others_fine`: most machines are heard.
const char* ClusterState::reason_to_release(const Machine& m, bool others_report, double now) const {
    if (m.listed_failed) return "listed as failed";
    const double silent = now - std::max(m.last_heartbeat, silence_counts_from_);
    if (!m.reporting) return reason_to_release_unseen(m, others_report, silent, now);
    const double silent_s =
        c::failure_detection_periods * settings_.heartbeat_period_s + c::failure_detection_margin_s;
    if (m.interruption_notice_s && silent > settings_.heartbeat_period_s &&
        now - m.interruption_notice_at > *m.interruption_notice_s + 1)
        return "its notice has run out";
    if (m.missing_since >= 0 && silent > 2 * settings_.heartbeat_period_s)
        return "no longer listed and silent";
    if (silent > silent_s && others_report) return "silent while others report";
    if (silent > settings_.worker_lease_s + c::failure_detection_margin_s) return "silent past its lease";
    if (commands_reach_others_ && m.unconfirmed_since >= 0 &&
        now - m.unconfirmed_since > settings_.worker_lease_s)
        return "reports, but never showed this term's token";
    if (m.quarantined && (m.tasks.empty() || silent > silent_s)) return "faulty";
    return nullptr;
}

// The same for one that has not reported in this term.
const char* ClusterState::reason_to_release_unseen(const Machine& m, bool others_report, double silent,
                                                   double now) const {
    const double silent_s =
        c::failure_detection_periods * settings_.heartbeat_period_s + c::failure_detection_margin_s;
    const double past_lease_s = settings_.worker_lease_s + c::failure_detection_margin_s;
    if (!m.tasks.empty()) {
        const double patience =
            others_report ? std::max(settings_.worker_lease_s / 2, silent_s) : past_lease_s;
        if (silent > patience) return "has tasks of an earlier term and is not heard";
        // Found by incident: spot machines taken while nobody led kept their tasks unknown for 28 s.
        if (m.missing_since >= 0 && silent > 1.5 * settings_.heartbeat_period_s)
            return "has tasks of an earlier term and is not listed";
        return nullptr;
    }
    if (m.listed_running) return silent > past_lease_s ? "runs but is not heard" : nullptr;
    // Old enough is not enough: after a takeover every machine is one that has not been heard yet (found by
    // incident: a new leader returned running machines 0.3 s into its term).
    const auto* t = type(m.type);
    const double boot_s = std::max(c::boot_patience * (t ? t->boot_s : 0), c::boot_patience_min_s);
    return silent > silent_s && now - m.provisioned_at > boot_s ? "never came up" : nullptr;
}

// Starts on machines that stopped being usable before they were given.
void ClusterState::withdraw_unsent_starts(double now) {
    for (auto& [id, m] : machines_) {
        if (m.tasks.empty()) continue;
        const bool fine = usable(m, now);
        for (const auto& [job, index] : std::vector(m.tasks)) {
            const TaskPlacement& s = job->placements.at(index);
            if (s.sent || s.seen || s.inherited || (fine && !s.stopping)) continue;
            mark_lost(*job, index, "taken back before it was given");
        }
    }
}

// A job that waits for others has not been passed over: its wait counts from when the last of them was done.
std::int64_t ClusterState::waiting_since_ms(const Job& job) const {
    const auto ready = dependencies_->ready_since_ms(job.id);
    return std::max(job.spec->accepted_ms, ready.value_or(0));
}

// Tasks more that an entry of the whole job has room for: it must stay within one value.
std::uint32_t ClusterState::free_entry_capacity(const Job& job) const {
    const double bytes = settings_.value_kb * 1024 * c::value_fill_ratio - c::record_frame_bytes;
    const double fits = bytes / c::record_entry_bytes - static_cast<double>(job.placements.size()) -
                        static_cast<double>(job.record.done.iterative_size());
    return static_cast<std::uint32_t>(std::max(0.0, fits));
}

double ClusterState::waited_s(const Job& job, std::int64_t wall_ms) const {
    return std::max(
        0.0, static_cast<double>(wall_ms - waiting_since_ms(job)) / 1000.0 - job.record.checkpointed_run_s);
}

double ClusterState::expected_s(const model::JobSpec& spec) const {
    const auto it = estimate_bias_.find(spec.job_class);
    return std::max(1.0, spec.estimate_s * (it == estimate_bias_.end() ? 1.0 : it->second));
}

// How long the start may still wait without missing an aim or the deadline.
double ClusterState::slack_s(const Job& job, std::int64_t wall_ms) const {
    const auto& spec = *job.spec;
    const double age = static_cast<double>(wall_ms - waiting_since_ms(job)) / 1000.0;
    double slack = 1e9;
    const double expected = expected_s(spec);
    // Its own deadline counts from the submission, and so do those of the jobs after it.
    if (const auto due = dependencies_->deadline_ms(spec))
        slack = std::min(slack, static_cast<double>(*due - wall_ms) / 1000.0 - expected);
    for (const auto& o : settings_.objectives) {
        if (o.job_class != spec.job_class || !o.within_s) continue;
        if (o.kind == config::ObjectiveKind::start)
            slack = std::min(slack, *o.within_s - age);
        else if (o.kind == config::ObjectiveKind::finish)
            slack = std::min(slack, *o.within_s - age - expected);
    }
    if (slack > 1e8) slack = expected;
    return slack;
}

scheduling::Snapshot ClusterState::snapshot(
    double now, std::int64_t wall_ms, const std::map<std::string, scheduling::ClassDemand>& demand) const {
    scheduling::Snapshot p;
    p.settings = &settings_;
    p.tuning = &tuning_;
    p.category_averages = category_averages_;
    p.demand = demand;
    for (const auto& t : machine_types_)
        for (const auto& zone : t.zones)
            for (const bool spot : {true, false}) {
                p.pools.push_back({&t, zone, spot});
                p.pools.back().refused = provisioning_.refused(p.pools.back(), now);
            }
    std::set<model::TaskId> unknown_tasks;
    for (const auto& [id, m] : machines_)
        for (const auto& t : m.unknown_tasks) unknown_tasks.insert(t.task);
    for (const auto& [id, job] : jobs_) {
        if (!job.placements.empty()) {
            auto& use = p.usage[job.record.team];
            const auto n = static_cast<double>(job.placements.size());
            use.cpus += n * job.record.task_resources.cpus;
            use.gpus += n * job.record.task_resources.gpus;
        }
        if (!may_run(job)) continue;
        const auto& spec = *job.spec;
        if (auto d = p.demand.find(spec.job_class); d != p.demand.end())
            d->second.running_tasks += static_cast<double>(job.placements.size());
        if (spec.shape == model::Shape::gang && !job.placements.empty())
            p.running_gangs.push_back(running_gang(job));
        auto view = pending_job(job, now, wall_ms, unknown_tasks);
        if (!view.pending_tasks.empty()) p.jobs.push_back(std::move(view));
    }
    for (const auto& [id, m] : machines_)
        if (const auto* t = type(m.type); t && !m.releasing)
            p.machines.push_back(machine_snapshot(m, *t, now));
    return p;
}

scheduling::RunningGang ClusterState::running_gang(const Job& job) const {
    scheduling::RunningGang g;
    g.spec = &*job.spec;
    g.priority = dependencies_->priority(*job.spec);
    g.xfactor = job.xfactor_at_start;
    g.stoppable = job.gang_ran;
    for (const auto& [index, s] : job.placements) {
        g.machines.push_back(s.machine);
        g.stoppable = g.stoppable && s.seen && s.state == TaskState::running && !s.stopping;
    }
    return g;
}

scheduling::PendingJob ClusterState::pending_job(const Job& job, double now, std::int64_t wall_ms,
                                                 const std::set<model::TaskId>& unknown_tasks) const {
    const auto& spec = *job.spec;
    scheduling::PendingJob v;
    v.spec = &spec;
    v.priority = dependencies_->priority(spec);
    const double waited = waited_s(job, wall_ms);
    // Lost time counts as wait for the xfactor, but a gang that ran a moment ago has not been passed over.
    v.waited_s = job.record.next_attempt > 1 ? std::min(waited, now - job.waiting_since) : waited;
    // A job that keeps failing does not climb over others by the time its failures take.
    v.xfactor =
        job.errors > 0 && job.record.done.empty() ? 1.0 : scheduling::xfactor(waited, spec.estimate_s);
    v.slack_s = slack_s(job, wall_ms);
    v.expected_s = expected_s(spec);
    v.in_pipeline = dependencies_->in_pipeline(spec);
    v.excluded_machines = job.failed_machines;
    if (job.retry_at <= now) {
        const bool gang = spec.shape == model::Shape::gang;
        if (gang) v.excluded_machines.insert(job.machines_left.begin(), job.machines_left.end());
        const bool abort = gang && !job.placements.empty() &&
                           (job.gang_ran || std::any_of(job.placements.begin(), job.placements.end(),
                                                        [](const auto& s) { return s.second.stopping; }));
        if (!abort) {
            v.pending_tasks = waiting_tasks(job, unknown_tasks);
            if (!job.sharded && !may_shard(spec)) v.max_placements = free_entry_capacity(job);
            if (gang && v.pending_tasks.size() > v.max_placements) v.pending_tasks.clear();
        }
    }
    if (spec.same_zone || spec.spread) count_zones(job, v);
    return v;
}

// Only the gaps of the done set are walked: a job of 100,000 tasks costs what is waiting, not what it has.
std::vector<std::uint32_t> ClusterState::waiting_tasks(const Job& job,
                                                       const std::set<model::TaskId>& unknown_tasks) {
    std::vector<std::uint32_t> out;
    for (std::uint32_t index = 0; index < job.spec->task_count && out.size() < c::pending_task_window;) {
        const auto gap = job.record.done.find(index);
        if (gap != job.record.done.end()) {
            index = boost::icl::last(*gap) + 1;
            continue;
        }
        if (!job.placements.contains(index) &&
            (unknown_tasks.empty() || !unknown_tasks.contains({job.id, index})))
            out.push_back(index);
        ++index;
    }
    return out;
}

void ClusterState::count_zones(const Job& job, scheduling::PendingJob& view) const {
    for (const auto& [index, s] : job.placements) {
        const auto m = machines_.find(s.machine);
        if (m != machines_.end() && !m->second.zone.empty())
            ++view.tasks_by_zone[m->second.zone];
        else
            view.pending_tasks.clear();  // where it is, is unknown: no other may start yet
    }
}

scheduling::MachineSnapshot ClusterState::machine_snapshot(const Machine& m, const model::MachineType& type,
                                                           double now) const {
    scheduling::MachineSnapshot v;
    v.id = m.id, v.type = m.type, v.zone = m.zone, v.spot = m.spot;
    v.ready = usable(m, now);
    v.booting = !m.reporting && !m.listed_failed;
    v.free = type.capacity;
    for (const auto& [job, index] : m.tasks) {
        v.free -= job->record.task_resources;
        if (job->spec) v.classes.insert(job->spec->job_class);
    }
    for (const auto& [image, gb] : m.images) v.images.push_back(image);
    v.busy = !m.tasks.empty();
    v.idle_s = v.busy ? 0 : now - m.idle_since;
    v.running_tasks = static_cast<double>(m.tasks.size());
    return v;
}

void ClusterState::plan(double now, std::int64_t wall_ms,
                        const std::map<std::string, scheduling::ClassDemand>& demand) {
    now_ = now;
    wall_offset_ms_ = wall_ms - static_cast<std::int64_t>(now * 1000);
    auto p = snapshot(now, wall_ms, demand);
    smallest_recent_request_.reset();
    for (const auto& [name, lately] : demand)
        if (!smallest_recent_request_ || lately.sample.task_resources.cpus < smallest_recent_request_->cpus)
            smallest_recent_request_ = lately.sample.task_resources;
    std::map<std::string, double> xfactors;
    for (const auto& j : p.jobs) xfactors[j.spec->id] = j.xfactor;
    for (const auto& start : scheduling::place_tasks(p)) {
        Job& job = jobs_.at(start.job);
        const bool gang = job.spec->shape == model::Shape::gang;
        if (!gang) {
            job.gang_attempt = job.record.next_attempt++;
        } else if (job.placements.empty()) {
            job.gang_attempt = job.record.next_attempt++;
            job.gang_ran = false;
            job.machines_left.clear();
        }
        if (job.placements.empty()) job.xfactor_at_start = xfactors[start.job];
        mark_changed(job, start.index);
        TaskPlacement s;
        s.index = start.index, s.attempt = job.gang_attempt, s.machine = start.machine;
        s.version = job.version;
        s.placed_at = now;
        spdlog::debug("task {}/{} attempt {} placed on {} (term {})", job.id, s.index, s.attempt, s.machine,
                      fencing_token_);
        add_placement(job, std::move(s));
        Machine& m = machine(start.machine);
        m.idle_since = now;
        remember_image(m, *job.spec);
        urgent_ = true;
    }
    // Suspension waits after a takeover until the picture has settled: no storm of stops from half a picture.
    const bool settled_snapshot = now - term_start_ > 2 * tuning_.preemption_period_s;
    if (settled_snapshot && now - last_preemption_ >= tuning_.preemption_period_s) {
        last_preemption_ = now;
        if (const auto s = scheduling::select_preemption(p))
            for (const auto& victim : s->victims) {
                Job& job = jobs_.at(victim);
                spdlog::info("job {} suspended for {} (term {})", victim, s->waiter, fencing_token_);
                stop_job(job, job.spec->checkpoint_save_s + 1);
            }
    }
    if (now - last_capacity_ < c::capacity_period_s) return;
    last_capacity_ = now;
    // A rental not answered yet is room on its way.
    for (const auto& rental : provisioning_.open()) {
        const auto* t = type(rental.type);
        for (std::uint32_t i = 0; t && i < rental.count; ++i) {
            scheduling::MachineSnapshot v;
            v.id = rental.name + "#" + std::to_string(i);
            v.type = rental.type, v.zone = rental.zone, v.spot = rental.spot;
            v.booting = true;
            v.free = t->capacity;
            p.machines.push_back(std::move(v));
        }
    }
    const auto capacity = scheduling::plan_autoscaling(std::move(p));
    for (const auto& rent : capacity.scale_out) provisioning_.want(rent);
    urgent_ |= !capacity.scale_out.empty();
    for (const auto& id : capacity.scale_in) {
        Machine& m = machines_.at(id);
        if (now - m.provisioned_at < c::minimum_charge_s && now - m.provisioned_at > 0) continue;
        spdlog::info("machine {} returned: idle (term {})", id, fencing_token_);
        m.releasing = true;
    }
}
// What a machine's cache still holds, as far as one can tell: the latest images that fit into it.
void ClusterState::remember_image(Machine& m, const model::JobSpec& spec) {
    std::erase_if(m.images, [&](const auto& i) { return i.first == spec.image; });
    m.images.emplace_back(spec.image, spec.image_gb);
    const auto* t = type(m.type);
    double gb = 0;
    for (const auto& i : m.images) gb += i.second;
    while (m.images.size() > 1 && ((t && gb > t->cache_gb) || m.images.size() > c::max_cached_images)) {
        gb -= m.images.front().second;
        m.images.pop_front();
    }
}

}  // namespace pineroad::cluster
