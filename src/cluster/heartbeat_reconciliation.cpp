// What workers report, what it means for the jobs, and what the workers are told.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.hpp"
#include "control/book.hpp"

namespace pineroad::control {

namespace c = constants;
using model::ExitCause;
using model::Order;
using model::TaskState;

namespace {
const char* text(ExitCause cause) {
    switch (cause) {
        case ExitCause::done:
            return "done";
        case ExitCause::stopped:
            return "stopped";
        case ExitCause::peers:
            return "peers gone";
        case ExitCause::alone:
            return "gang incomplete";
        case ExitCause::error:
            return "error";
        case ExitCause::no_room:
            return "no room";
        case ExitCause::busy:
            return "busy";
        case ExitCause::unknown:
            return "unknown";
        case ExitCause::none:
            break;
    }
    return "?";
}
}  // namespace
void Book::stop(Job& job, Slot& slot, double grace_s) {
    if (slot.stopping && slot.grace_s <= grace_s) return;
    slot.stopping = true;
    slot.grace_s = grace_s;
    slot.stop_sent = false;
    untold_.emplace_back(job.id, slot.index);
}

void Book::stop_job(Job& job, double grace_s) {
    for (auto& [index, s] : job.slots) stop(job, s, grace_s);
}

bool Book::absorb(const model::Report& r, double now) {
    now_ = now;
    // A machine whose release was answered is gone; a report of it was held back on the way.
    if (gone_.contains(r.machine)) return false;
    Machine& m = machine(r.machine);
    if (m.up && std::pair(r.session, r.tick) <= std::pair(m.session, m.tick)) return false;
    take_identity(m, r, now);
    // Absence proves nothing unless the worker already refuses the orders of earlier terms.
    m.confirmed = r.token == token_;
    if (!m.confirmed) {
        if (m.unconfirmed_since < 0) m.unconfirmed_since = now;
        m.early = r.tasks;
        return true;
    }
    m.unconfirmed_since = -1;
    m.strays.clear();
    m.exited.clear();
    Heeding heeding;
    std::vector<std::pair<Job*, std::uint32_t>> present;
    for (const auto& t : r.tasks) {
        const auto shown = task_reported(m, t, heeding, now);
        if (shown) present.emplace_back(shown, t.task.index);
    }
    missing_from_report(m, present, heeding);
    heeding.heeded |= !m.told_reaps.empty() && !heeding.ignored;
    m.told_reaps.clear();
    if (heeding.ignored)
        ignored_orders(m, now);
    else if (heeding.heeded)
        m.unheeded = 0;
    if (!m.strays.empty() || !m.tasks.empty()) m.idle_since = now;
    if (m.notice_s) save_before_notice(m);
    return true;
}

// Who reports, and from where.
void Book::take_identity(Machine& m, const model::Report& r, double now) {
    if (!m.up)
        spdlog::info("machine {} ({} in {}{}) reports, session {} (term {})", r.machine, r.type, r.zone,
                     r.spot ? ", spot" : "", r.session, token_);
    if (!m.up) m.idle_since = now;
    // A one-way cut: its reports arrive, and what it is told does not reach it. Its tasks have ended with its
    // lease; kept, it would report for ever and do nothing.
    if (m.unheeded >= c::deaf_orders && r.session > m.session && others_listen_) {
        spdlog::info("machine {} released: reports, but nothing reaches it (term {})", m.id, token_);
        m.releasing = true;
    }
    m.up = true;
    m.type = r.type, m.zone = r.zone, m.spot = r.spot, m.address = r.address;
    m.session = r.session, m.tick = r.tick;
    m.last_report = now;
    last_report_ = now;
    if (r.notice_s && !m.notice_s) spdlog::info("machine {} will be taken in {:.1f} s", m.id, *r.notice_s);
    m.notice_s = r.notice_s;
    m.notice_at = now;
}

// What a report says of one task; its job if the task is where it was placed.
Job* Book::task_reported(Machine& m, const model::ReportedTask& t, Heeding& heeding, double now) {
    const auto it = jobs_.find(t.task.job);
    Job* job = it == jobs_.end() ? nullptr : &it->second;
    Slots::iterator at;
    const bool known = job && (at = job->slots.find(t.task.index)) != job->slots.end() &&
                       at->second.attempt == t.attempt && at->second.machine == m.id;
    if (t.state == TaskState::exited) {
        const std::pair told(t.task, t.attempt);
        heeding.ignored |= std::find(m.told_reaps.begin(), m.told_reaps.end(), told) != m.told_reaps.end();
        if (known)
            exited(*job, at, t, m, now);
        else if (job)
            done_elsewhere(*job, t);
        m.exited.push_back({t.task, t.attempt, job ? version_of(*job, t.task.index) : 0});
        return known ? job : nullptr;
    }
    if (!known) {
        m.strays.push_back(t);
        return nullptr;
    }
    Slot& s = at->second;
    heeding.heeded |= !s.seen && s.sent;
    s.seen = true;
    if (t.state == TaskState::running && s.state != TaskState::running) {
        s.running_since = now;
        job->gang_ran = true;
        spdlog::debug("task {}/{} attempt {} runs on {} (term {})", t.task.job, t.task.index, t.attempt, m.id,
                      token_);
    }
    s.state = t.state;
    return job;
}

// Completed under a placement that was taken back meanwhile: the result is kept, so it counts.
void Book::done_elsewhere(Job& job, const model::ReportedTask& t) {
    if (!job.spec || job.cancelled || job.finished || t.cause != ExitCause::done ||
        boost::icl::contains(job.record.done, t.task.index))
        return;
    job.record.done += t.task.index;
    if (job.record.done_count() >= job.spec->tasks) job.finished = true;
    touch(job, t.task.index);
}

// Placements that a report does not show.
void Book::missing_from_report(Machine& m, const std::vector<std::pair<Job*, std::uint32_t>>& present,
                               Heeding& heeding) {
    for (const auto& [job, index] : std::vector(m.tasks)) {
        if (std::find(present.begin(), present.end(), std::pair(job, index)) != present.end()) continue;
        Slot& s = job->slots.at(index);
        if (s.seen || s.inherited) {
            lose(*job, index, "not on its machine any more");
        } else if (s.sent) {
            // The answer with the start was dropped: this report is newer than it, so it can't be executed
            // any more. It may be given again, here or elsewhere.
            heeding.ignored = true;
            s.sent = false;
            if (s.stopping || job->cancelled || m.unheeded > 0) lose(*job, index, "start never arrived");
        }
    }
}

// A spot notice: what can save, saves at once; the rest runs on as long as the machine stands.
void Book::save_before_notice(Machine& m) {
    for (const auto& [job, index] : m.tasks) {
        if (!job->spec || job->cancelled || job->spec->checkpoint_s <= 0 || *m.notice_s < job->spec->save_s)
            continue;
        auto& here = job->slots.at(index);
        if (here.state != TaskState::running || !here.seen) continue;
        if (job->spec->shape == model::Shape::gang)
            stop_job(*job, job->spec->save_s + 1);
        else
            stop(*job, here, job->spec->save_s + 1);
    }
}

// Its reports arrive, and show that what it was told has not reached it. Once happens with every lost packet;
// again and again means that nothing reaches it: whatever it is given is late by a lease.
void Book::ignored_orders(Machine& m, double now) {
    ++m.unheeded;
    m.unheeded_at = now;
    spdlog::info("machine {} reports but did not get its last orders, {} times now (term {})", m.id,
                 m.unheeded, token_);
}

void Book::exited(Job& job, Slots::iterator at, const model::ReportedTask& t, Machine& m, double now) {
    const Slot s = remove_slot(job, at);
    spdlog::debug("task {}/{} attempt {} ended on {}: {}{} (term {})", job.id, s.index, s.attempt, m.id,
                  text(t.cause), t.saved ? ", saved" : "", token_);
    touch(job, s.index);
    if (!job.spec || job.cancelled) return;
    if (t.cause == ExitCause::done) {
        m.errors = 0;
        m.error_jobs.clear();
        if (s.running_since >= 0 && job.record.ran_s <= 0 && job.spec->estimate_s > 0) {
            // What the class takes, over what its owners guess; tasks that resume from a checkpoint say
            // nothing.
            auto& bias = guess_bias_.try_emplace(job.spec->job_class, 1.0).first->second;
            bias = std::clamp(bias + c::bias_weight * ((now - s.running_since) / job.spec->estimate_s - bias),
                              c::bias_lowest, c::bias_highest);
        }
        if (job.spec->shape == model::Shape::gang) {
            // A gang completes together: one done, all done.
            job.record.done += boost::icl::discrete_interval<std::uint32_t>::right_open(0, job.spec->tasks);
        } else {
            job.record.done += s.index;
        }
        if (job.record.done_count() >= job.spec->tasks) job.finished = urgent_ = true;
        return;
    }
    if (t.cause == ExitCause::stopped && t.saved && s.running_since >= 0)
        job.record.ran_s += now - s.running_since;
    if (t.cause == ExitCause::error) failed(job, m, now);
    if (t.cause == ExitCause::no_room || t.cause == ExitCause::busy || t.cause == ExitCause::unknown)
        job.retry_at = std::max(job.retry_at, now + 1);
    job.left.insert(m.id);
    after_loss(job);
}

void Book::lose(Job& job, std::uint32_t index, const char* why) {
    const Slot s = remove_slot(job, job.slots.find(index));
    spdlog::info("task {}/{} attempt {} on {}: {} (term {})", job.id, s.index, s.attempt, s.machine, why,
                 token_);
    job.left.insert(s.machine);
    touch(job, s.index);
    after_loss(job);
}

// What the loss of one task means for the rest of its job.
void Book::after_loss(Job& job) {
    if (!job.spec || job.spec->shape != model::Shape::gang) return;
    if (job.slots.empty()) {
        job.gang_attempt = 0;
        job.gang_ran = false;
        job.left.clear();
        job.waits_since = now_;
    } else if (job.gang_ran) {
        // The others notice by themselves within gang_peer_s; telling them is quicker.
        const bool saving = std::any_of(job.slots.begin(), job.slots.end(), [](const auto& s) {
            return s.second.stopping && s.second.grace_s > 0;
        });
        if (!saving) stop_job(job, 0);
    }
    // A gang that has not started keeps waiting for a replacement under the same attempt.
}

// An error speaks against the machine or against the job: several jobs failing on one machine, or one job
// failing on several machines, tells which.
void Book::failed(Job& job, Machine& m, double now) {
    ++job.errors;
    job.failed_on.insert(m.id);
    const double pause =
        std::min(c::error_pause_s * std::pow(2.0, std::min(job.errors - 1, 10)), c::error_pause_max_s);
    const bool job_at_fault =
        job.record.done.empty() && static_cast<int>(job.failed_on.size()) >= c::job_errors;
    if (job_at_fault) {
        job.retry_at = now + pause;
        for (auto& [id, other] : machines_) other.error_jobs.erase(job.id);
        return;
    }
    ++m.errors;
    m.error_jobs.insert(job.id);
    if (static_cast<int>(m.error_jobs.size()) >= c::machine_errors ||
        (m.errors >= c::machine_errors && !job.record.done.empty())) {
        if (!m.faulty) spdlog::info("machine {} fails what it is given: returned (term {})", m.id, token_);
        m.faulty = true;
        drain(m);
    }
}

// Everything on a faulty machine goes elsewhere.
void Book::drain(Machine& m) {
    for (const auto& [job, index] : m.tasks)
        stop(*job, job->slots.at(index),
             job->spec && job->spec->checkpoint_s > 0 ? job->spec->save_s + 1 : 0);
}

bool Book::settled(const std::string& id) const {
    const auto m = machines_.find(id);
    if (m == machines_.end()) return true;
    return std::none_of(m->second.tasks.begin(), m->second.tasks.end(), [](const auto& t) {
        const Slot& s = t.first->slots.at(t.second);
        return !s.seen && !s.stopping && !is_durable(*t.first, s);
    });
}

bool Book::has_news(const std::string& id) const {
    const auto m = machines_.find(id);
    return m != machines_.end() && settled(id) &&
           std::any_of(m->second.tasks.begin(), m->second.tasks.end(), [](const auto& t) {
               const Slot& s = t.first->slots.at(t.second);
               return s.stopping || !s.seen;
           });
}

bool Book::has_room(const std::string& id, double now) const {
    const auto m = machines_.find(id);
    if (m == machines_.end() || !usable(m->second, now)) return false;
    if (m->second.tasks.empty()) return true;
    const auto* t = type(m->second.type);
    if (!t || !least_need_) return false;
    auto free = t->room;
    for (const auto& [job, index] : m->second.tasks) free -= job->record.need;
    return least_need_->fits_in(free);
}

std::vector<Order> Book::orders_for(const std::string& id, bool may_start, double now) {
    std::vector<Order> out;
    const auto it = machines_.find(id);
    if (it == machines_.end()) return out;
    Machine& m = it->second;
    if (!m.confirmed) {
        // This answer renews the lease, and the next may not be heard: what must not run goes with this one.
        // Nothing else is said, since the report may be older than what an earlier term did last.
        for (const auto& t : m.early) {
            const auto job = jobs_.find(t.task.job);
            const bool over = job == jobs_.end() || !job->second.spec || job->second.cancelled;
            if (over && t.state != TaskState::exited && out.size() < c::max_order_count)
                out.push_back({Order::Op::stop, t.task, t.attempt, 0});
        }
        return out;
    }
    for (const auto& e : m.exited) {
        const auto job = jobs_.find(e.task.job);
        // Done before reap.
        if (job != jobs_.end() && durable_version(job->second, e.task.index) < e.version) continue;
        out.push_back({Order::Op::forget, e.task, e.attempt, 0});
        m.told_reaps.emplace_back(e.task, e.attempt);
        if (out.size() >= c::max_order_count) return out;
    }
    for (const auto& t : m.strays) out.push_back({Order::Op::stop, t.task, t.attempt, 0});
    const bool use = usable(m, now) && may_start;
    for (const auto& [job, index] : m.tasks) {
        if (out.size() >= c::max_order_count) break;
        Slot& s = job->slots.at(index);
        if (s.stopping) {
            if (s.seen || s.sent || s.inherited)
                out.push_back({Order::Op::stop, {job->id, index}, s.attempt, s.grace_s});
        } else if (!s.seen && use && may_run(*job) && is_durable(*job, s)) {
            out.push_back({Order::Op::start, {job->id, index}, s.attempt, 0});
            s.sent = true;
        }
    }
    return out;
}

std::vector<DirectOrders> Book::direct_orders() {
    std::map<std::string, DirectOrders> by_machine;
    std::vector<std::pair<std::string, std::uint32_t>> later;
    for (const auto& [id, index] : std::exchange(untold_, {})) {
        const auto job = jobs_.find(id);
        if (job == jobs_.end()) continue;
        const auto at = job->second.slots.find(index);
        if (at == job->second.slots.end() || !at->second.stopping || at->second.stop_sent) continue;
        Slot& s = at->second;
        const auto m = machines_.find(s.machine);
        if (!s.seen || m == machines_.end() || !m->second.confirmed || m->second.address.empty()) {
            later.emplace_back(id, index);  // once a report shows it
            continue;
        }
        auto& d = by_machine[s.machine];
        d.machine = s.machine, d.address = m->second.address, d.session = m->second.session;
        if (d.orders.size() >= c::max_order_count) {
            later.emplace_back(id, index);
            continue;
        }
        d.orders.push_back({Order::Op::stop, {id, index}, s.attempt, s.grace_s});
        s.stop_sent = true;
    }
    untold_ = std::move(later);
    std::vector<DirectOrders> out;
    out.reserve(by_machine.size());
    for (auto& [id, d] : by_machine) out.push_back(std::move(d));
    return out;
}

}  // namespace pineroad::control
