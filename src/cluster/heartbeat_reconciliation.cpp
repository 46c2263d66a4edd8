// What workers report, what it means for the jobs, and what the workers are told.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
using model::Command;
using model::ExitCause;
using model::TaskState;

namespace {
const char* text(ExitCause cause) {
    switch (cause) {
        case ExitCause::done:
            return "done";
        case ExitCause::stopped:
            return "stopped";
        case ExitCause::gang_member_lost:
            return "peers gone";
        case ExitCause::gang_incomplete:
            return "gang incomplete";
        case ExitCause::error:
            return "error";
        case ExitCause::insufficient_resources:
            return "no room";
        case ExitCause::already_running:
            return "busy";
        case ExitCause::unknown_task:
            return "unknown";
        case ExitCause::none:
            break;
    }
    return "?";
}
}  // namespace
void ClusterState::stop(Job& job, TaskPlacement& placement, double grace_s) {
    if (placement.stop && placement.stop->grace_s <= grace_s) return;
    placement.stop = StopRequest{grace_s};
    unsent_stops_.emplace_back(job.id, placement.index);
}

void ClusterState::stop_job(Job& job, double grace_s) {
    for (auto& [index, s] : job.placements) stop(job, s, grace_s);
}

bool ClusterState::apply_heartbeat(const model::Heartbeat& r, double now) {
    now_ = now;
    // A machine whose release was answered is gone; a report of it was held back on the way.
    if (released_machines_.contains(r.machine)) return false;
    Machine& m = machine(r.machine);
    if (m.has_reported() && std::pair(r.agent_epoch, r.sequence) <= std::pair(m.agent_epoch, m.sequence))
        return false;
    update_machine_identity(m, r, now);
    // Absence proves nothing unless the worker already refuses the orders of earlier terms.
    m.contact = r.fencing_token == fencing_token_ ? WorkerContact::current_token : WorkerContact::older_token;
    if (!m.token_confirmed()) {
        if (!m.older_token_since_s) m.older_token_since_s = now;
        m.tasks_under_older_token = r.tasks;
        return true;
    }
    m.older_token_since_s.reset();
    m.unknown_tasks.clear();
    m.exited_tasks.clear();
    CommandAcknowledgement acknowledgement;
    std::vector<PlacedTask> present;
    for (const auto& t : r.tasks) {
        const auto shown = apply_task_report(m, t, acknowledgement, now);
        if (shown) present.push_back({shown, t.task.index});
    }
    handle_missing_placements(m, present, acknowledgement);
    acknowledgement.acknowledged |= !m.sent_forgets.empty() && !acknowledgement.ignored;
    m.sent_forgets.clear();
    if (acknowledgement.ignored)
        record_unacknowledged_commands(m, now);
    else if (acknowledgement.acknowledged)
        m.unacknowledged.heartbeats = 0;
    if (!m.unknown_tasks.empty() || !m.tasks.empty()) m.idle_since_s = now;
    if (m.interruption_notice) checkpoint_before_interruption(m);
    return true;
}

// Who reports, and from where.
void ClusterState::update_machine_identity(Machine& m, const model::Heartbeat& r, double now) {
    if (!m.has_reported())
        spdlog::info("machine {} ({} in {}{}) reports, session {} (term {})", r.machine, r.type, r.zone,
                     r.spot ? ", spot" : "", r.agent_epoch, fencing_token_);
    if (!m.has_reported()) m.idle_since_s = now;
    // A one-way cut: its reports arrive, and what it is told does not reach it. Its tasks have ended with its
    // lease; kept, it would report for ever and do nothing.
    if (m.unacknowledged.heartbeats >= c::max_unacknowledged_heartbeats && r.agent_epoch > m.agent_epoch &&
        commands_reach_others_) {
        spdlog::info("machine {} released: reports, but nothing reaches it (term {})", m.id, fencing_token_);
        m.releasing = true;
    }
    m.type = r.type, m.zone = r.zone, m.spot = r.spot, m.address = r.address;
    m.agent_epoch = r.agent_epoch, m.sequence = r.sequence;
    m.last_heartbeat_s = now;
    last_heartbeat_ = now;
    if (r.interruption_notice_s && !m.interruption_notice)
        spdlog::info("machine {} will be taken in {:.1f} s", m.id, *r.interruption_notice_s);
    m.interruption_notice.reset();
    if (r.interruption_notice_s) m.interruption_notice = InterruptionNotice{*r.interruption_notice_s, now};
}

// What a report says of one task; its job if the task is where it was placed.
Job* ClusterState::apply_task_report(Machine& m, const model::ReportedTask& t,
                                     CommandAcknowledgement& acknowledgement, double now) {
    const auto it = jobs_.find(t.task.job);
    Job* job = it == jobs_.end() ? nullptr : &it->second;
    Placements::iterator at;
    const bool known = job && (at = job->placements.find(t.task.index)) != job->placements.end() &&
                       at->second.attempt == t.attempt && at->second.machine == m.id;
    if (t.state == TaskState::exited) {
        const SentForget sent{t.task, t.attempt};
        acknowledgement.ignored |=
            std::find(m.sent_forgets.begin(), m.sent_forgets.end(), sent) != m.sent_forgets.end();
        if (known)
            handle_exit(*job, at, t, m, now);
        else if (job)
            record_completion_elsewhere(*job, t);
        m.exited_tasks.push_back({t.task, t.attempt, job ? version_of(*job, t.task.index) : 0});
        return known ? job : nullptr;
    }
    if (!known) {
        m.unknown_tasks.push_back(t);
        return nullptr;
    }
    TaskPlacement& s = at->second;
    acknowledgement.acknowledged |= s.confirm();
    if (t.state == TaskState::running && s.state != TaskState::running) {
        s.running_since_s = now;
        job->gang_has_run = true;
        spdlog::debug("task {}/{} attempt {} runs on {} (term {})", t.task.job, t.task.index, t.attempt, m.id,
                      fencing_token_);
    }
    s.state = t.state;
    return job;
}

// Completed under a placement that was taken back meanwhile: the result is kept, so it counts.
void ClusterState::record_completion_elsewhere(Job& job, const model::ReportedTask& t) {
    if (!job.spec || job.cancelled || job.finished || t.cause != ExitCause::done ||
        boost::icl::contains(job.record.done, t.task.index))
        return;
    job.record.done += t.task.index;
    if (job.record.done_count() >= job.spec->task_count) job.finished = true;
    mark_changed(job, t.task.index);
}

// Placements that a report does not show.
void ClusterState::handle_missing_placements(Machine& m, const std::vector<PlacedTask>& present,
                                             CommandAcknowledgement& acknowledgement) {
    for (const auto& [job, index] : std::vector(m.tasks)) {
        if (std::find(present.begin(), present.end(), PlacedTask{job, index}) != present.end()) continue;
        TaskPlacement& s = job->placements.at(index);
        if (s.presence == Presence::confirmed || s.presence == Presence::inherited) {
            mark_lost(*job, index, "not on its machine any more");
        } else if (s.presence == Presence::start_sent) {
            acknowledgement.ignored = true;
            s.start_was_dropped();
            if (s.is_stopping() || job->cancelled || m.unacknowledged.heartbeats > 0)
                mark_lost(*job, index, "start never arrived");
        }
    }
}

// A spot notice: what can save, saves at once; the rest runs on as long as the machine stands.
void ClusterState::checkpoint_before_interruption(Machine& m) {
    for (const auto& [job, index] : m.tasks) {
        if (!job->spec || job->cancelled || job->spec->checkpoint_interval_s <= 0 ||
            m.interruption_notice->remaining_s < job->spec->checkpoint_save_s)
            continue;
        auto& here = job->placements.at(index);
        if (here.state != TaskState::running || !here.is_confirmed()) continue;
        if (job->spec->shape == model::Shape::gang)
            stop_job(*job, job->spec->checkpoint_save_s + 1);
        else
            stop(*job, here, job->spec->checkpoint_save_s + 1);
    }
}

// Its reports arrive, and show that what it was told has not reached it. Once happens with every lost packet;
// again and again means that nothing reaches it: whatever it is given is late by a lease.
void ClusterState::record_unacknowledged_commands(Machine& m, double now) {
    ++m.unacknowledged.heartbeats;
    m.unacknowledged.latest_at_s = now;
    spdlog::info("machine {} reports but did not get its last orders, {} times now (term {})", m.id,
                 m.unacknowledged.heartbeats, fencing_token_);
}

void ClusterState::handle_exit(Job& job, Placements::iterator at, const model::ReportedTask& t, Machine& m,
                               double now) {
    const TaskPlacement s = remove_placement(job, at);
    spdlog::debug("task {}/{} attempt {} ended on {}: {}{} (term {})", job.id, s.index, s.attempt, m.id,
                  text(t.cause), t.saved ? ", saved" : "", fencing_token_);
    mark_changed(job, s.index);
    if (!job.spec || job.cancelled) return;
    if (t.cause == ExitCause::done) {
        m.consecutive_failures = 0;
        m.failed_jobs.clear();
        if (s.running_since_s && job.record.checkpointed_run_s <= 0 && job.spec->estimate_s > 0) {
            // What the class takes, over what its owners guess; tasks that resume from a checkpoint say
            // nothing.
            auto& bias = estimate_bias_.try_emplace(job.spec->job_class, 1.0).first->second;
            bias = std::clamp(
                bias + c::estimate_bias_weight * ((now - *s.running_since_s) / job.spec->estimate_s - bias),
                c::min_estimate_bias, c::max_estimate_bias);
        }
        if (job.spec->shape == model::Shape::gang) {
            // A gang completes together: one done, all done.
            job.record.done +=
                boost::icl::discrete_interval<std::uint32_t>::right_open(0, job.spec->task_count);
        } else {
            job.record.done += s.index;
        }
        if (job.record.done_count() >= job.spec->task_count) job.finished = urgent_ = true;
        return;
    }
    if (t.cause == ExitCause::stopped && t.saved && s.running_since_s)
        job.record.checkpointed_run_s += now - *s.running_since_s;
    if (t.cause == ExitCause::error) record_failure(job, m, now);
    if (t.cause == ExitCause::insufficient_resources || t.cause == ExitCause::already_running ||
        t.cause == ExitCause::unknown_task)
        job.failures.retry_at_s = std::max(job.failures.retry_at_s, now + 1);
    job.gang_left_machines.insert(m.id);
    after_loss(job);
}

void ClusterState::mark_lost(Job& job, std::uint32_t index, const char* why) {
    const TaskPlacement s = remove_placement(job, job.placements.find(index));
    spdlog::info("task {}/{} attempt {} on {}: {} (term {})", job.id, s.index, s.attempt, s.machine, why,
                 fencing_token_);
    job.gang_left_machines.insert(s.machine);
    mark_changed(job, s.index);
    after_loss(job);
}

// What the loss of one task means for the rest of its job.
void ClusterState::after_loss(Job& job) {
    if (!job.spec || job.spec->shape != model::Shape::gang) return;
    if (job.placements.empty()) {
        job.latest_attempt = 0;
        job.gang_has_run = false;
        job.gang_left_machines.clear();
        job.waiting_since_s = now_;
    } else if (job.gang_has_run) {
        // The others notice by themselves within gang_peer_s; telling them is quicker.
        const bool saving = std::any_of(job.placements.begin(), job.placements.end(),
                                        [](const auto& s) { return s.second.is_saving(); });
        if (!saving) stop_job(job, 0);
    }
    // A gang that has not started keeps waiting for a replacement under the same attempt.
}

// An error speaks against the machine or against the job: several jobs failing on one machine, or one job
// failing on several machines, tells which.
void ClusterState::record_failure(Job& job, Machine& m, double now) {
    ++job.failures.count;
    job.failures.machines.insert(m.id);
    const double pause = std::min(c::error_pause_s * std::pow(2.0, std::min(job.failures.count - 1, 10)),
                                  c::error_pause_max_s);
    const bool job_at_fault = job.record.done.empty() &&
                              static_cast<int>(job.failures.machines.size()) >= c::max_job_error_machines;
    if (job_at_fault) {
        job.failures.retry_at_s = now + pause;
        for (auto& [id, other] : machines_) other.failed_jobs.erase(job.id);
        return;
    }
    ++m.consecutive_failures;
    m.failed_jobs.insert(job.id);
    if (static_cast<int>(m.failed_jobs.size()) >= c::max_machine_errors ||
        (m.consecutive_failures >= c::max_machine_errors && !job.record.done.empty())) {
        if (!m.quarantined)
            spdlog::info("machine {} fails what it is given: returned (term {})", m.id, fencing_token_);
        m.quarantined = true;
        drain(m);
    }
}

// Everything on a faulty machine goes elsewhere.
void ClusterState::drain(Machine& m) {
    for (const auto& [job, index] : m.tasks)
        stop(*job, job->placements.at(index),
             job->spec && job->spec->checkpoint_interval_s > 0 ? job->spec->checkpoint_save_s + 1 : 0);
}

bool ClusterState::placements_durable(const std::string& id) const {
    const auto m = machines_.find(id);
    if (m == machines_.end()) return true;
    return std::none_of(m->second.tasks.begin(), m->second.tasks.end(), [](const PlacedTask& t) {
        const TaskPlacement& s = t.placement();
        return !s.is_confirmed() && !s.is_stopping() && !is_durable(*t.job, s);
    });
}

bool ClusterState::has_pending_commands(const std::string& id) const {
    const auto m = machines_.find(id);
    return m != machines_.end() && placements_durable(id) &&
           std::any_of(m->second.tasks.begin(), m->second.tasks.end(), [](const PlacedTask& t) {
               const TaskPlacement& s = t.placement();
               return s.is_stopping() || !s.is_confirmed();
           });
}

bool ClusterState::has_room(const std::string& id, double now) const {
    const auto m = machines_.find(id);
    if (m == machines_.end() || !usable(m->second, now)) return false;
    if (m->second.tasks.empty()) return true;
    const auto* t = type(m->second.type);
    if (!t || !smallest_recent_request_) return false;
    auto free = t->capacity;
    for (const auto& [job, index] : m->second.tasks) free -= job->record.task_resources;
    return smallest_recent_request_->fits_in(free);
}

std::vector<Command> ClusterState::commands_for(const std::string& id, bool may_start, double now) {
    std::vector<Command> out;
    const auto it = machines_.find(id);
    if (it == machines_.end()) return out;
    Machine& m = it->second;
    if (!m.token_confirmed()) {
        // This answer renews the lease, and the next may not be heard: what must not run goes with this one.
        // Nothing else is said, since the report may be older than what an earlier term did last.
        for (const auto& t : m.tasks_under_older_token) {
            const auto job = jobs_.find(t.task.job);
            const bool over = job == jobs_.end() || !job->second.spec || job->second.cancelled;
            if (over && t.state != TaskState::exited && out.size() < c::max_commands)
                out.push_back({Command::Kind::stop, t.task, t.attempt, 0});
        }
        return out;
    }
    for (const auto& e : m.exited_tasks) {
        const auto job = jobs_.find(e.task.job);
        // Done before reap.
        if (job != jobs_.end() && durable_version(job->second, e.task.index) < e.version) continue;
        out.push_back({Command::Kind::forget, e.task, e.attempt, 0});
        m.sent_forgets.push_back({e.task, e.attempt});
        if (out.size() >= c::max_commands) return out;
    }
    for (const auto& t : m.unknown_tasks) out.push_back({Command::Kind::stop, t.task, t.attempt, 0});
    const bool use = usable(m, now) && may_start;
    for (const auto& [job, index] : m.tasks) {
        if (out.size() >= c::max_commands) break;
        TaskPlacement& s = job->placements.at(index);
        if (s.is_stopping()) {
            if (!s.is_unsent())
                out.push_back({Command::Kind::stop, {job->id, index}, s.attempt, s.stop->grace_s});
        } else if (!s.is_confirmed() && use && may_run(*job) && is_durable(*job, s)) {
            out.push_back({Command::Kind::start, {job->id, index}, s.attempt, 0});
            s.start_was_sent();
        }
    }
    return out;
}

std::vector<DirectCommands> ClusterState::take_direct_commands() {
    std::map<std::string, DirectCommands> by_machine;
    std::vector<std::pair<std::string, std::uint32_t>> later;
    for (const auto& [id, index] : std::exchange(unsent_stops_, {})) {
        const auto job = jobs_.find(id);
        if (job == jobs_.end()) continue;
        const auto at = job->second.placements.find(index);
        if (at == job->second.placements.end() || !at->second.is_stopping() || at->second.stop->sent_directly)
            continue;
        TaskPlacement& s = at->second;
        const auto m = machines_.find(s.machine);
        if (!s.is_confirmed() || m == machines_.end() || !m->second.token_confirmed() ||
            m->second.address.empty()) {
            later.emplace_back(id, index);  // once a report shows it
            continue;
        }
        auto& d = by_machine[s.machine];
        d.machine = s.machine, d.address = m->second.address, d.agent_epoch = m->second.agent_epoch;
        if (d.commands.size() >= c::max_commands) {
            later.emplace_back(id, index);
            continue;
        }
        d.commands.push_back({Command::Kind::stop, {id, index}, s.attempt, s.stop->grace_s});
        s.stop->sent_directly = true;
    }
    unsent_stops_ = std::move(later);
    std::vector<DirectCommands> out;
    out.reserve(by_machine.size());
    for (auto& [id, d] : by_machine) out.push_back(std::move(d));
    return out;
}

}  // namespace pineroad::cluster
