#include "control/book.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;
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

Book::Book(const config::Settings& settings, const config::Tuning& tuning, std::uint64_t token,
           std::uint64_t leader_stamp, double now)
    : settings_(settings),
      tuning_(tuning),
      token_(token),
      leader_stamp_(leader_stamp),
      rentals_(token),
      term_start_(now),
      listening_since_(now),
      last_report_(now),
      now_(now),
      last_suspension_(now) {}

// --- taking over -------------------------------------------------------------------------------------------

void Book::load(const Mirror& mirror, double now, std::int64_t wall_ms) {
    now_ = now;
    wall_offset_ms_ = wall_ms - static_cast<std::int64_t>(now * 1000);
    dependencies_ = &mirror.dependencies();
    if (mirror.types) types_ = mirror.types->value, types_stamp_ = mirror.types->stamp;
    means_ = mirror.means.value, means_stamp_ = mirror.means.stamp;
    for (const auto& [id, job] : mirror.jobs) job_added(job.value, job.stamp, now);
    // The entry of a whole job comes after those of its parts: it counts for what these leave out.
    for (const auto& [name, p] : mirror.progress)
        if (name.part > 0) load_entry(name, p, now);
    for (const auto& [name, p] : mirror.progress)
        if (name.part == 0) load_entry(name, p, now);
    load_segments(mirror);
    rentals_.load(mirror);
    for (auto& [id, job] : jobs_) {
        if (!job.spec)
            job_cancelled(id, now);
        else if (job.record.done_count() >= job.spec->tasks)
            job.finished = true, touch(job);
        else
            load_unsplit_parts(job);
    }
    for (const auto& id : dependencies_->cancelled()) job_withdrawn(id, now);
}

void Book::load_segments(const Mirror& mirror) {
    for (const auto& [name, s] : mirror.segments) {
        segments_[name] = {s.stamp, s.sequence, s.entries};
        for (const auto& entry : s.entries) {
            ++mentions_[entry];
            auto& last = last_segment_[entry];
            if (last.empty() || mirror.segments.at(last).sequence < s.sequence) last = name;
        }
    }
}

void Book::load_entry(const records::EntryName& name, const Mirror::Progress& progress, double now) {
    Job& job = jobs_[name.job];
    job.id = name.job;
    const auto& entry = progress.value;
    job.record.done += entry.done;
    job.record.next_attempt = std::max(job.record.next_attempt, entry.next_attempt);
    if (name.part == 0) {
        job.record.ran_s = entry.ran_s;
        job.record.need = entry.need;
        job.record.team = entry.team;
        if (progress.segment.empty()) job.progress_stamp = progress.stamp;  // a record of its own
    }
    job.split |= entry.partial;
    job.parts[name.part].segment = progress.segment;
    for (const auto& p : entry.placements) {
        const auto part = p.piece / c::part_tasks;
        // An entry of the whole job: a part's own entry is later, and has placed or lost this task since.
        if (!entry.partial && part > 0 && job.parts.contains(part)) continue;
        Slot s;
        s.piece = p.piece, s.attempt = p.attempt, s.machine = p.machine;
        s.inherited = true;
        s.placed_at = now;
        add_slot(job, std::move(s));
        job.gang_attempt = std::max(job.gang_attempt, p.attempt);
    }
}

// An earlier term was about to replace an entry of the whole job, and had written some parts.
void Book::load_unsplit_parts(Job& job) {
    const auto whole = job.parts.find(0);
    if (!job.split || whole == job.parts.end()) return;
    const auto without_entry = [&](std::uint32_t piece) {
        const auto part = piece / c::part_tasks;
        return part > 0 && !job.parts.contains(part);
    };
    std::set<std::uint32_t> missing;
    for (const auto& [piece, slot] : job.slots)
        if (without_entry(piece)) missing.insert(piece / c::part_tasks);
    for (const auto& done : job.record.done)
        for (auto piece = boost::icl::first(done); piece <= boost::icl::last(done); ++piece)
            if (without_entry(piece)) missing.insert(piece / c::part_tasks);
    for (const auto part : missing) touch(job, part * c::part_tasks);
    job.in_whole_entry = std::move(missing);
}

// --- events ------------------------------------------------------------------------------------------------

void Book::job_added(const model::JobSpec& spec, std::uint64_t stamp, double now) {
    Job& job = jobs_[spec.id];
    if (job.spec) return;
    job.id = spec.id;
    job.spec = spec;
    job.stamp = stamp;
    job.waits_since = now;
    job.record.need = spec.need;
    job.record.team = spec.team;
}

void Book::job_cancelled(const std::string& id, double) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.cancelled || it->second.final_durable) return;
    Job& job = it->second;
    job.cancelled = true;
    job.finished = false;
    // Starts not given yet are never given: such slots hold nothing. Inherited ones may have been given.
    for (auto it = job.slots.begin(); it != job.slots.end();) {
        const auto at = it++;
        if (!at->second.inherited && !at->second.sent) remove_slot(job, at);
    }
    stop_job(job, 0);
    touch(job);
    urgent_ = true;
    spdlog::info("job {} cancelled, {} tasks to go (term {})", id, job.slots.size(), token_);
}

void Book::job_withdrawn(const std::string& id, double now) {
    now_ = now;
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.cancelled || it->second.withdrawn || it->second.final_durable) return;
    it->second.withdrawn = true;
    touch(it->second);
    spdlog::info("job {} withdrawn with a job that it depends on (term {})", id, token_);
}

bool Book::may_run(const Job& job) const {
    if (!job.spec || job.cancelled || job.finished || job.withdrawn) return false;
    return job.spec->dependencies.empty() || (dependencies_ && dependencies_->is_ready(job.id));
}

// --- workers -----------------------------------------------------------------------------------------------

Machine& Book::machine(const std::string& id) {
    auto [it, fresh] = machines_.try_emplace(id);
    if (fresh) {
        it->second.id = id;
        it->second.rented_at = now_;
        it->second.idle_since = now_;
        it->second.last_report = now_;
    }
    return it->second;
}

const model::MachineType* Book::type(const std::string& name) const {
    for (const auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

Slot& Book::add_slot(Job& job, Slot slot) {
    const auto piece = slot.piece;
    machine(slot.machine).tasks.emplace_back(&job, piece);
    return job.slots[piece] = std::move(slot);
}

Slot Book::remove_slot(Job& job, Slots::iterator at) {
    Slot s = std::move(at->second);
    job.slots.erase(at);
    if (const auto m = machines_.find(s.machine); m != machines_.end())
        std::erase(m->second.tasks, std::pair(&job, s.piece));
    return s;
}

void Book::stop(Job& job, Slot& slot, double grace_s) {
    if (slot.stopping && slot.grace_s <= grace_s) return;
    slot.stopping = true;
    slot.grace_s = grace_s;
    slot.stop_sent = false;
    untold_.emplace_back(job.id, slot.piece);
}

void Book::stop_job(Job& job, double grace_s) {
    for (auto& [piece, s] : job.slots) stop(job, s, grace_s);
}

bool Book::absorb(const model::Report& r, double now) {
    now_ = now;
    // A machine whose release was answered is gone; a report of it was held back on the way.
    if (gone_.contains(r.machine)) return false;
    Machine& m = machine(r.machine);
    if (m.up && std::pair(r.session, r.tick) <= std::pair(m.session, m.tick)) return false;
    if (!m.up)
        spdlog::info("machine {} ({} in {}{}) reports, session {} (term {})", r.machine, r.type, r.zone,
                     r.spot ? ", spot" : "", r.session, token_);
    if (m.type.empty() && !m.up) m.idle_since = now;
    const bool first = !m.up;
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
    if (first) m.idle_since = now;
    if (r.notice_s && !m.notice_s) spdlog::info("machine {} will be taken in {:.1f} s", m.id, *r.notice_s);
    m.notice_s = r.notice_s;
    m.notice_at = now;
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
    bool ignored = false, heeded = false;
    std::vector<std::pair<Job*, std::uint32_t>> present;
    for (const auto& t : r.tasks) {
        const auto it = jobs_.find(t.task.job);
        Job* job = it == jobs_.end() ? nullptr : &it->second;
        Slots::iterator at;
        const bool known = job && (at = job->slots.find(t.task.piece)) != job->slots.end() &&
                           at->second.attempt == t.attempt && at->second.machine == m.id;
        if (known) present.emplace_back(job, t.task.piece);
        if (t.state == TaskState::exited) {
            const std::pair told(t.task, t.attempt);
            ignored |= std::find(m.told_reaps.begin(), m.told_reaps.end(), told) != m.told_reaps.end();
            if (known) {
                exited(*job, at, t, m, now);
            } else if (job && job->spec && !job->cancelled && !job->finished && t.cause == ExitCause::done &&
                       !boost::icl::contains(job->record.done, t.task.piece)) {
                // Completed under a placement that was taken back meanwhile: the result is kept, so it
                // counts.
                job->record.done += t.task.piece;
                if (job->record.done_count() >= job->spec->tasks) job->finished = true;
                touch(*job, t.task.piece);
            }
            m.exited.push_back({t.task, t.attempt, job ? version_of(*job, t.task.piece) : 0});
            continue;
        }
        if (!known) {
            m.strays.push_back(t);
            continue;
        }
        Slot& s = at->second;
        heeded |= !s.seen && s.sent;
        s.seen = true;
        if (t.state == TaskState::running && s.state != TaskState::running) {
            s.running_since = now;
            job->gang_ran = true;
            spdlog::debug("task {}/{} attempt {} runs on {} (term {})", t.task.job, t.task.piece, t.attempt,
                          m.id, token_);
        }
        s.state = t.state;
    }
    // Placements the report does not show.
    for (const auto& [job, piece] : std::vector(m.tasks)) {
        if (std::find(present.begin(), present.end(), std::pair(job, piece)) != present.end()) continue;
        Slot& s = job->slots.at(piece);
        if (s.seen || s.inherited) {
            lose(*job, piece, "not on its machine any more");
        } else if (s.sent) {
            // The answer with the start was dropped: this report is newer than it, so it can't be executed
            // any more. It may be given again, here or elsewhere.
            ignored = true;
            s.sent = false;
            if (s.stopping || job->cancelled || m.unheeded > 0) lose(*job, piece, "start never arrived");
        }
    }
    heeded |= !m.told_reaps.empty() && !ignored;
    m.told_reaps.clear();
    if (ignored)
        ignored_orders(m, now);
    else if (heeded)
        m.unheeded = 0;
    if (!m.strays.empty() || !m.tasks.empty()) m.idle_since = now;
    // A spot notice: what can save, saves at once; the rest runs on as long as the machine stands.
    if (m.notice_s)
        for (const auto& [job, piece] : m.tasks) {
            if (!job->spec || job->cancelled || job->spec->checkpoint_s <= 0 ||
                *m.notice_s < job->spec->save_s)
                continue;
            auto& here = job->slots.at(piece);
            if (here.state != TaskState::running || !here.seen) continue;
            if (job->spec->shape == model::Shape::gang)
                stop_job(*job, job->spec->save_s + 1);
            else
                stop(*job, here, job->spec->save_s + 1);
        }
    return true;
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
    spdlog::debug("task {}/{} attempt {} ended on {}: {}{} (term {})", job.id, s.piece, s.attempt, m.id,
                  text(t.cause), t.saved ? ", saved" : "", token_);
    touch(job, s.piece);
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
            job.record.done += s.piece;
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

void Book::lose(Job& job, std::uint32_t piece, const char* why) {
    const Slot s = remove_slot(job, job.slots.find(piece));
    spdlog::info("task {}/{} attempt {} on {}: {} (term {})", job.id, s.piece, s.attempt, s.machine, why,
                 token_);
    job.left.insert(s.machine);
    touch(job, s.piece);
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
    for (const auto& [job, piece] : m.tasks)
        stop(*job, job->slots.at(piece),
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
    for (const auto& [job, piece] : m->second.tasks) free -= job->record.need;
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
        if (job != jobs_.end() && durable_version(job->second, e.task.piece) < e.version) continue;
        out.push_back({Order::Op::forget, e.task, e.attempt, 0});
        m.told_reaps.emplace_back(e.task, e.attempt);
        if (out.size() >= c::max_order_count) return out;
    }
    for (const auto& t : m.strays) out.push_back({Order::Op::stop, t.task, t.attempt, 0});
    const bool use = usable(m, now) && may_start;
    for (const auto& [job, piece] : m.tasks) {
        if (out.size() >= c::max_order_count) break;
        Slot& s = job->slots.at(piece);
        if (s.stopping) {
            if (s.seen || s.sent || s.inherited)
                out.push_back({Order::Op::stop, {job->id, piece}, s.attempt, s.grace_s});
        } else if (!s.seen && use && may_run(*job) && is_durable(*job, s)) {
            out.push_back({Order::Op::start, {job->id, piece}, s.attempt, 0});
            s.sent = true;
        }
    }
    return out;
}

std::vector<DirectOrders> Book::direct_orders() {
    std::map<std::string, DirectOrders> by_machine;
    std::vector<std::pair<std::string, std::uint32_t>> later;
    for (const auto& [id, piece] : std::exchange(untold_, {})) {
        const auto job = jobs_.find(id);
        if (job == jobs_.end()) continue;
        const auto at = job->second.slots.find(piece);
        if (at == job->second.slots.end() || !at->second.stopping || at->second.stop_sent) continue;
        Slot& s = at->second;
        const auto m = machines_.find(s.machine);
        if (!s.seen || m == machines_.end() || !m->second.confirmed || m->second.address.empty()) {
            later.emplace_back(id, piece);  // once a report shows it
            continue;
        }
        auto& d = by_machine[s.machine];
        d.machine = s.machine, d.address = m->second.address, d.session = m->second.session;
        if (d.orders.size() >= c::max_order_count) {
            later.emplace_back(id, piece);
            continue;
        }
        d.orders.push_back({Order::Op::stop, {id, piece}, s.attempt, s.grace_s});
        s.stop_sent = true;
    }
    untold_ = std::move(later);
    std::vector<DirectOrders> out;
    for (auto& [id, d] : by_machine) out.push_back(std::move(d));
    return out;
}

// --- planning ----------------------------------------------------------------------------------------------

bool Book::usable(const Machine& m, double now) const {
    return m.up && m.confirmed && !m.releasing && !m.faulty && !m.notice_s && !m.listed_failed &&
           m.strays.empty() && now - m.last_report < c::report_gaps_usable * settings_.report_s &&
           m.unheeded < c::deaf_orders;
}

void Book::tick(double now) {
    now_ = now;
    std::size_t up = 0, heard = 0, deaf = 0;
    for (const auto& [id, m] : machines_) {
        if (!m.up) continue;
        ++up;
        if (now - m.last_report < 2 * settings_.report_s) ++heard;
        if (m.unheeded > 0 || m.unconfirmed_since >= 0) ++deaf;
    }
    const bool others_fine = heard > 0 && 2 * heard >= up;
    // Many machines that hear nothing: the fault is on this side.
    others_listen_ = deaf <= std::max<std::size_t>(c::deaf_machines_least, up / 5);
    const double silent_s = c::silent_reports * settings_.report_s + c::silent_margin_s;
    for (auto& [id, m] : machines_) {
        if (m.releasing) continue;
        // Its own lease must have ended by now; in the same session still, it was renewed: the machine hears.
        if (m.unheeded >= c::deaf_orders && m.last_report - m.unheeded_at > settings_.lease_s) m.unheeded = 0;
        const double silent = now - std::max(m.last_report, listening_since_);
        const auto* t = type(m.type);
        auto give_up = [&](const char* why) {
            spdlog::info("machine {} released: {} (term {})", id, why, token_);
            m.releasing = true;
        };
        if (m.listed_failed) {
            give_up("listed as failed");
        } else if (!m.up) {
            const bool holds = !m.tasks.empty();
            const double boot = t ? t->boot_s : 0;
            const double patience = others_fine ? std::max(settings_.lease_s / 2, silent_s)
                                                : settings_.lease_s + c::silent_margin_s;
            if (holds && silent > patience) give_up("has tasks of an earlier term and is not heard");
            // Found by incident: spot machines taken while nobody led kept their tasks unknown for 28 s.
            else if (holds && m.missing_since >= 0 && silent > 1.5 * settings_.report_s)
                give_up("has tasks of an earlier term and is not listed");
            // Old enough is not enough: after a takeover every machine is one that has not been heard yet
            // (found by incident: a new leader returned running machines 0.3 s into its term).
            else if (!holds && !m.listed_running && silent > silent_s &&
                     now - m.rented_at > std::max(c::boot_patience * boot, c::boot_patience_min_s))
                give_up("never came up");
            else if (!holds && m.listed_running && silent > settings_.lease_s + c::silent_margin_s)
                give_up("runs but is not heard");
        } else if (m.notice_s && silent > settings_.report_s && now - m.notice_at > *m.notice_s + 1) {
            give_up("its notice has run out");
        } else if (m.missing_since >= 0 && silent > 2 * settings_.report_s) {
            give_up("no longer listed and silent");
        } else if (silent > silent_s && others_fine) {
            give_up("silent while others report");
        } else if (silent > settings_.lease_s + c::silent_margin_s) {
            give_up("silent past its lease");
        } else if (others_listen_ && m.unconfirmed_since >= 0 &&
                   now - m.unconfirmed_since > settings_.lease_s) {
            give_up("reports, but never showed this term's token");
        } else if (m.faulty) {
            if (m.tasks.empty() || silent > silent_s) give_up("faulty");
        }
    }
    // Starts on machines that stopped being usable before they were given.
    for (auto& [id, m] : machines_) {
        if (m.tasks.empty()) continue;
        const bool fine = usable(m, now);
        for (const auto& [job, piece] : std::vector(m.tasks)) {
            const Slot& s = job->slots.at(piece);
            if (s.sent || s.seen || s.inherited || (fine && !s.stopping)) continue;
            lose(*job, piece, "taken back before it was given");
        }
    }
    while (!gone_order_.empty() &&
           (now - gone_order_.front().first > c::gone_memory_s || gone_order_.size() > c::gone_memory)) {
        gone_.erase(gone_order_.front().second);
        gone_order_.pop_front();
    }
}

// A job that waits for others has not been passed over: its wait counts from when the last of them was done.
std::int64_t Book::waits_from_ms(const Job& job) const {
    const auto ready = dependencies_ ? dependencies_->ready_since_ms(job.id) : std::nullopt;
    return std::max(job.spec->accepted_ms, ready.value_or(0));
}

// Tasks more that an entry of the whole job has room for: it must stay within one value.
std::uint32_t Book::room_in_entry(const Job& job) const {
    const double bytes = settings_.value_kb * 1024 * c::value_fill - c::record_frame_bytes;
    const double fits = bytes / c::record_entry_bytes - static_cast<double>(job.slots.size()) -
                        static_cast<double>(job.record.done.iterative_size());
    return static_cast<std::uint32_t>(std::max(0.0, fits));
}

double Book::waited_s(const Job& job, std::int64_t wall_ms) const {
    return std::max(0.0, static_cast<double>(wall_ms - waits_from_ms(job)) / 1000.0 - job.record.ran_s);
}

double Book::expected_s(const model::JobSpec& spec) const {
    const auto it = guess_bias_.find(spec.job_class);
    return std::max(1.0, spec.estimate_s * (it == guess_bias_.end() ? 1.0 : it->second));
}

// How long the start may still wait without missing an aim or the deadline.
double Book::slack_s(const Job& job, std::int64_t wall_ms) const {
    const auto& spec = *job.spec;
    const double age = static_cast<double>(wall_ms - waits_from_ms(job)) / 1000.0;
    double slack = 1e9;
    const double expected = expected_s(spec);
    // Its own deadline counts from the submission, and so do those of the jobs after it.
    if (const auto due = dependencies_ ? dependencies_->due_ms(spec) : std::nullopt)
        slack = std::min(slack, static_cast<double>(*due - wall_ms) / 1000.0 - expected);
    for (const auto& o : settings_.objectives) {
        if (o.job_class != spec.job_class || !o.within_s) continue;
        if (o.kind == "wait")
            slack = std::min(slack, *o.within_s - age);
        else if (o.kind == "finished")
            slack = std::min(slack, *o.within_s - age - expected);
    }
    if (slack > 1e8) slack = expected;
    return slack;
}

sched::Picture Book::picture(double now, std::int64_t wall_ms,
                             const std::map<std::string, sched::ClassDemand>& demand) const {
    sched::Picture p;
    p.settings = &settings_;
    p.tuning = &tuning_;
    p.means = means_;
    p.demand = demand;
    for (const auto& t : types_)
        for (const auto& zone : t.zones)
            for (const bool spot : {true, false}) {
                p.pools.push_back({&t, zone, spot});
                p.pools.back().refused = rentals_.refused(p.pools.back(), now);
            }
    std::set<model::TaskId> strays;
    for (const auto& [id, m] : machines_)
        for (const auto& t : m.strays) strays.insert(t.task);
    for (const auto& [id, job] : jobs_) {
        if (!job.slots.empty()) {
            auto& use = p.use[job.record.team];
            const auto n = static_cast<double>(job.slots.size());
            use.cpus += n * job.record.need.cpus;
            use.gpus += n * job.record.need.gpus;
        }
        if (!may_run(job)) continue;
        const auto& spec = *job.spec;
        const auto priority = dependencies_ ? dependencies_->priority(spec) : spec.priority;
        if (auto d = p.demand.find(spec.job_class); d != p.demand.end())
            d->second.running += static_cast<double>(job.slots.size());
        if (spec.shape == model::Shape::gang && !job.slots.empty()) {
            sched::RunningGang g;
            g.spec = &spec;
            g.priority = priority;
            g.xfactor = job.xfactor_at_start;
            g.stoppable = job.gang_ran;
            for (const auto& [piece, s] : job.slots) {
                g.machines.push_back(s.machine);
                g.stoppable = g.stoppable && s.seen && s.state == TaskState::running && !s.stopping;
            }
            p.gangs.push_back(std::move(g));
        }
        sched::JobView v;
        v.spec = &spec;
        v.priority = priority;
        const double waited = waited_s(job, wall_ms);
        // Lost time counts as wait for the xfactor, but a gang that ran a moment ago has not been passed
        // over.
        v.waited_s = job.record.next_attempt > 1 ? std::min(waited, now - job.waits_since) : waited;
        // A job that keeps failing does not climb over others by the time its failures take.
        v.xfactor = job.errors > 0 && job.record.done.empty() ? 1.0 : sched::xfactor(waited, spec.estimate_s);
        v.slack_s = slack_s(job, wall_ms);
        v.expected_s = expected_s(spec);
        v.in_pipeline = dependencies_ && dependencies_->in_pipeline(spec);
        v.avoid = job.failed_on;
        if (job.retry_at <= now) {
            const bool abort = spec.shape == model::Shape::gang && !job.slots.empty() &&
                               (job.gang_ran || std::any_of(job.slots.begin(), job.slots.end(),
                                                            [](const auto& s) { return s.second.stopping; }));
            if (spec.shape == model::Shape::gang) v.avoid.insert(job.left.begin(), job.left.end());
            if (!abort) {
                // Only the gaps of the done set are walked: a job of 100,000 tasks costs what is waiting, not
                // what it has.
                for (std::uint32_t piece = 0; piece < spec.tasks && v.waiting.size() < c::waiting_window;) {
                    const auto gap = job.record.done.find(piece);
                    if (gap != job.record.done.end()) {
                        piece = boost::icl::last(*gap) + 1;
                        continue;
                    }
                    if (!job.slots.contains(piece) && (strays.empty() || !strays.contains({id, piece})))
                        v.waiting.push_back(piece);
                    ++piece;
                }
                if (!job.split && !may_split(spec)) v.most = room_in_entry(job);
                if (spec.shape == model::Shape::gang && v.waiting.size() > v.most) v.waiting.clear();
            }
        }
        if (spec.one_zone || spec.spread)
            for (const auto& [piece, s] : job.slots) {
                const auto m = machines_.find(s.machine);
                if (m != machines_.end() && !m->second.zone.empty())
                    ++v.in_zone[m->second.zone];
                else
                    v.waiting.clear();  // where it is, is unknown: no other may start yet
            }
        if (!v.waiting.empty()) p.jobs.push_back(std::move(v));
    }
    for (const auto& [id, m] : machines_) {
        const auto* t = type(m.type);
        if (!t || m.releasing) continue;
        sched::MachineView v;
        v.id = id, v.type = m.type, v.zone = m.zone, v.spot = m.spot;
        v.ready = usable(m, now);
        v.booting = !m.up && !m.listed_failed;
        v.free = t->room;
        for (const auto& [job, piece] : m.tasks) {
            v.free -= job->record.need;
            if (job->spec) v.classes.insert(job->spec->job_class);
        }
        for (const auto& [image, gb] : m.images) v.images.push_back(image);
        v.busy = !m.tasks.empty();
        v.idle_s = v.busy ? 0 : now - m.idle_since;
        v.running = static_cast<double>(m.tasks.size());
        p.machines.push_back(std::move(v));
    }
    return p;
}

void Book::plan(double now, std::int64_t wall_ms, const std::map<std::string, sched::ClassDemand>& demand) {
    now_ = now;
    wall_offset_ms_ = wall_ms - static_cast<std::int64_t>(now * 1000);
    auto p = picture(now, wall_ms, demand);
    least_need_.reset();
    for (const auto& [name, lately] : demand)
        if (!least_need_ || lately.sample.need.cpus < least_need_->cpus) least_need_ = lately.sample.need;
    std::map<std::string, double> xfactors;
    for (const auto& j : p.jobs) xfactors[j.spec->id] = j.xfactor;
    for (const auto& start : sched::place(p)) {
        Job& job = jobs_.at(start.job);
        const bool gang = job.spec->shape == model::Shape::gang;
        if (!gang) {
            job.gang_attempt = job.record.next_attempt++;
        } else if (job.slots.empty()) {
            job.gang_attempt = job.record.next_attempt++;
            job.gang_ran = false;
            job.left.clear();
        }
        if (job.slots.empty()) job.xfactor_at_start = xfactors[start.job];
        touch(job, start.piece);
        Slot s;
        s.piece = start.piece, s.attempt = job.gang_attempt, s.machine = start.machine;
        s.version = job.version;
        s.placed_at = now;
        spdlog::debug("task {}/{} attempt {} placed on {} (term {})", job.id, s.piece, s.attempt, s.machine,
                      token_);
        add_slot(job, std::move(s));
        Machine& m = machine(start.machine);
        m.idle_since = now;
        remember_image(m, *job.spec);
        urgent_ = true;
    }
    // Suspension waits after a takeover until the picture has settled: no storm of stops from half a picture.
    const bool settled_picture = now - term_start_ > 2 * tuning_.suspension_period_s;
    if (settled_picture && now - last_suspension_ >= tuning_.suspension_period_s) {
        last_suspension_ = now;
        if (const auto s = sched::suspend(p))
            for (const auto& victim : s->victims) {
                Job& job = jobs_.at(victim);
                spdlog::info("job {} suspended for {} (term {})", victim, s->waiter, token_);
                stop_job(job, job.spec->save_s + 1);
            }
    }
    if (now - last_capacity_ < c::capacity_period_s) return;
    last_capacity_ = now;
    // A rental not answered yet is room on its way.
    for (const auto& rental : rentals_.open()) {
        const auto* t = type(rental.type);
        for (std::uint32_t i = 0; t && i < rental.count; ++i) {
            sched::MachineView v;
            v.id = rental.name + "#" + std::to_string(i);
            v.type = rental.type, v.zone = rental.zone, v.spot = rental.spot;
            v.booting = true;
            v.free = t->room;
            p.machines.push_back(std::move(v));
        }
    }
    const auto capacity = sched::capacity(std::move(p));
    for (const auto& rent : capacity.rent) rentals_.want(rent);
    urgent_ |= !capacity.rent.empty();
    for (const auto& id : capacity.give_back) {
        Machine& m = machines_.at(id);
        if (now - m.rented_at < c::minimum_charge_s && now - m.rented_at > 0) continue;
        spdlog::info("machine {} returned: idle (term {})", id, token_);
        m.releasing = true;
    }
}

// --- persistence -------------------------------------------------------------------------------------------

// What a machine's cache still holds, as far as one can tell: the latest images that fit into it.
void Book::remember_image(Machine& m, const model::JobSpec& spec) {
    std::erase_if(m.images, [&](const auto& i) { return i.first == spec.image; });
    m.images.emplace_back(spec.image, spec.image_gb);
    const auto* t = type(m.type);
    double gb = 0;
    for (const auto& i : m.images) gb += i.second;
    while (m.images.size() > 1 && ((t && gb > t->cache_gb) || m.images.size() > c::images_kept)) {
        gb -= m.images.front().second;
        m.images.pop_front();
    }
}

// --- cloud -------------------------------------------------------------------------------------------------

bool Book::set_types(const std::vector<model::MachineType>& types) {
    bool same = types.size() == types_.size() && types_stamp_ != 0;
    for (std::size_t i = 0; same && i < types.size(); ++i) {
        const auto &a = types[i], &b = types_[i];
        same = a.name == b.name && a.room.cpus == b.room.cpus && a.room.gpus == b.room.gpus &&
               a.room.memory_gb == b.room.memory_gb && a.zones == b.zones;
    }
    types_ = types;  // prices move; only the shape of the fleet is written down
    if (!same) types_dirty_ = true;
    return !same;
}

void Book::rented(const std::string& name, const std::vector<std::string>& ids, double now) {
    now_ = now;
    const auto r = rentals_.answered(name, ids.size(), now);
    if (!r) return;
    for (const auto& id : ids) {
        if (gone_.contains(id)) continue;
        Machine& m = machine(id);
        if (m.type.empty()) m.type = r->type, m.zone = r->zone, m.spot = r->spot;
    }
}

void Book::rental_refused(const std::string& name, double now) {
    rentals_.refuse(name, now);
    last_capacity_ = 0;  // look at the other pools at once
}

std::vector<std::string> Book::next_releases(double) const {
    std::vector<std::string> out;
    for (const auto& [id, m] : machines_)
        if (m.releasing && out.size() < static_cast<std::size_t>(c::release_max)) out.push_back(id);
    return out;
}

void Book::released(const std::vector<std::string>& ids, double now) {
    now_ = now;
    for (const auto& id : ids) {
        if (gone_.insert(id).second) gone_order_.emplace_back(now, id);
        const auto it = machines_.find(id);
        if (it == machines_.end()) continue;
        for (const auto& [job, piece] : std::vector(it->second.tasks))
            lose(*job, piece, "its machine is gone");
        machines_.erase(it);
    }
}

void Book::listed(const std::vector<model::ListedMachine>& list, double now) {
    now_ = now;
    std::set<std::string> seen;
    for (const auto& l : list) {
        seen.insert(l.id);
        if (gone_.contains(l.id)) continue;  // the list lags
        const bool fresh = !machines_.contains(l.id);
        Machine& m = machine(l.id);
        if (fresh) spdlog::info("machine {} found in the list (term {})", l.id, token_);
        if (!m.up) m.type = l.type, m.zone = l.zone, m.spot = l.spot;
        if (m.address.empty()) m.address = l.address;
        m.rented_at = std::min(m.rented_at, now - l.age_s);
        m.listed = true;
        m.missing_since = -1;
        m.listed_failed = l.status == model::MachineStatus::failed;
        m.listed_running = l.status == model::MachineStatus::running;
    }
    // Whatever ran a task in an earlier term is older than the list's lag by now: not listed, it is gone.
    const bool caught_up = now - term_start_ > 2 * settings_.list_lag_s + c::list_period_s;
    for (auto& [id, m] : machines_) {
        const bool known = m.listed || (caught_up && !m.up && !m.tasks.empty());
        if (known && !seen.contains(id) && m.missing_since < 0) m.missing_since = now;
    }
}

}  // namespace pineroad::control
