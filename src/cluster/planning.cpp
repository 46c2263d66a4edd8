// What the leader makes of its picture: machines given up, tasks placed and stopped, machines rented.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/constants.hpp"
#include "control/book.hpp"

namespace pineroad::control {

namespace c = constants;
using model::TaskState;

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
    for (auto& [id, m] : machines_) {
        if (m.releasing) continue;
        // Its own lease must have ended by now; in the same session still, it was renewed: the machine hears.
        if (m.unheeded >= c::deaf_orders && m.last_report - m.unheeded_at > settings_.lease_s) m.unheeded = 0;
        if (const char* why = reason_to_release(m, others_fine, now)) {
            spdlog::info("machine {} released: {} (term {})", m.id, why, token_);
            m.releasing = true;
        }
    }
    take_back_starts(now);
    while (!gone_order_.empty() &&
           (now - gone_order_.front().first > c::gone_memory_s || gone_order_.size() > c::gone_memory)) {
        gone_.erase(gone_order_.front().second);
        gone_order_.pop_front();
    }
}

// Why a machine is lost, or nothing. `others_fine`: most machines are heard.
const char* Book::reason_to_release(const Machine& m, bool others_fine, double now) const {
    if (m.listed_failed) return "listed as failed";
    const double silent = now - std::max(m.last_report, listening_since_);
    if (!m.up) return reason_never_heard(m, others_fine, silent, now);
    const double silent_s = c::silent_reports * settings_.report_s + c::silent_margin_s;
    if (m.notice_s && silent > settings_.report_s && now - m.notice_at > *m.notice_s + 1)
        return "its notice has run out";
    if (m.missing_since >= 0 && silent > 2 * settings_.report_s) return "no longer listed and silent";
    if (silent > silent_s && others_fine) return "silent while others report";
    if (silent > settings_.lease_s + c::silent_margin_s) return "silent past its lease";
    if (others_listen_ && m.unconfirmed_since >= 0 && now - m.unconfirmed_since > settings_.lease_s)
        return "reports, but never showed this term's token";
    if (m.faulty && (m.tasks.empty() || silent > silent_s)) return "faulty";
    return nullptr;
}

// The same for one that has not reported in this term.
const char* Book::reason_never_heard(const Machine& m, bool others_fine, double silent, double now) const {
    const double silent_s = c::silent_reports * settings_.report_s + c::silent_margin_s;
    const double past_lease_s = settings_.lease_s + c::silent_margin_s;
    if (!m.tasks.empty()) {
        const double patience = others_fine ? std::max(settings_.lease_s / 2, silent_s) : past_lease_s;
        if (silent > patience) return "has tasks of an earlier term and is not heard";
        // Found by incident: spot machines taken while nobody led kept their tasks unknown for 28 s.
        if (m.missing_since >= 0 && silent > 1.5 * settings_.report_s)
            return "has tasks of an earlier term and is not listed";
        return nullptr;
    }
    if (m.listed_running) return silent > past_lease_s ? "runs but is not heard" : nullptr;
    // Old enough is not enough: after a takeover every machine is one that has not been heard yet (found by
    // incident: a new leader returned running machines 0.3 s into its term).
    const auto* t = type(m.type);
    const double boot_s = std::max(c::boot_patience * (t ? t->boot_s : 0), c::boot_patience_min_s);
    return silent > silent_s && now - m.rented_at > boot_s ? "never came up" : nullptr;
}

// Starts on machines that stopped being usable before they were given.
void Book::take_back_starts(double now) {
    for (auto& [id, m] : machines_) {
        if (m.tasks.empty()) continue;
        const bool fine = usable(m, now);
        for (const auto& [job, index] : std::vector(m.tasks)) {
            const Slot& s = job->slots.at(index);
            if (s.sent || s.seen || s.inherited || (fine && !s.stopping)) continue;
            lose(*job, index, "taken back before it was given");
        }
    }
}

// A job that waits for others has not been passed over: its wait counts from when the last of them was done.
std::int64_t Book::waits_from_ms(const Job& job) const {
    const auto ready = dependencies_->ready_since_ms(job.id);
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
    if (const auto due = dependencies_->due_ms(spec))
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
        if (auto d = p.demand.find(spec.job_class); d != p.demand.end())
            d->second.running += static_cast<double>(job.slots.size());
        if (spec.shape == model::Shape::gang && !job.slots.empty()) p.gangs.push_back(gang_view(job));
        auto view = job_view(job, now, wall_ms, strays);
        if (!view.waiting.empty()) p.jobs.push_back(std::move(view));
    }
    for (const auto& [id, m] : machines_)
        if (const auto* t = type(m.type); t && !m.releasing) p.machines.push_back(machine_view(m, *t, now));
    return p;
}

sched::RunningGang Book::gang_view(const Job& job) const {
    sched::RunningGang g;
    g.spec = &*job.spec;
    g.priority = dependencies_->priority(*job.spec);
    g.xfactor = job.xfactor_at_start;
    g.stoppable = job.gang_ran;
    for (const auto& [index, s] : job.slots) {
        g.machines.push_back(s.machine);
        g.stoppable = g.stoppable && s.seen && s.state == TaskState::running && !s.stopping;
    }
    return g;
}

sched::JobView Book::job_view(const Job& job, double now, std::int64_t wall_ms,
                              const std::set<model::TaskId>& strays) const {
    const auto& spec = *job.spec;
    sched::JobView v;
    v.spec = &spec;
    v.priority = dependencies_->priority(spec);
    const double waited = waited_s(job, wall_ms);
    // Lost time counts as wait for the xfactor, but a gang that ran a moment ago has not been passed over.
    v.waited_s = job.record.next_attempt > 1 ? std::min(waited, now - job.waits_since) : waited;
    // A job that keeps failing does not climb over others by the time its failures take.
    v.xfactor = job.errors > 0 && job.record.done.empty() ? 1.0 : sched::xfactor(waited, spec.estimate_s);
    v.slack_s = slack_s(job, wall_ms);
    v.expected_s = expected_s(spec);
    v.in_pipeline = dependencies_->in_pipeline(spec);
    v.avoid = job.failed_on;
    if (job.retry_at <= now) {
        const bool gang = spec.shape == model::Shape::gang;
        if (gang) v.avoid.insert(job.left.begin(), job.left.end());
        const bool abort = gang && !job.slots.empty() &&
                           (job.gang_ran || std::any_of(job.slots.begin(), job.slots.end(),
                                                        [](const auto& s) { return s.second.stopping; }));
        if (!abort) {
            v.waiting = waiting_tasks(job, strays);
            if (!job.split && !may_split(spec)) v.most = room_in_entry(job);
            if (gang && v.waiting.size() > v.most) v.waiting.clear();
        }
    }
    if (spec.one_zone || spec.spread) count_zones(job, v);
    return v;
}

// Only the gaps of the done set are walked: a job of 100,000 tasks costs what is waiting, not what it has.
std::vector<std::uint32_t> Book::waiting_tasks(const Job& job, const std::set<model::TaskId>& strays) {
    std::vector<std::uint32_t> out;
    for (std::uint32_t index = 0; index < job.spec->tasks && out.size() < c::waiting_window;) {
        const auto gap = job.record.done.find(index);
        if (gap != job.record.done.end()) {
            index = boost::icl::last(*gap) + 1;
            continue;
        }
        if (!job.slots.contains(index) && (strays.empty() || !strays.contains({job.id, index})))
            out.push_back(index);
        ++index;
    }
    return out;
}

void Book::count_zones(const Job& job, sched::JobView& view) const {
    for (const auto& [index, s] : job.slots) {
        const auto m = machines_.find(s.machine);
        if (m != machines_.end() && !m->second.zone.empty())
            ++view.in_zone[m->second.zone];
        else
            view.waiting.clear();  // where it is, is unknown: no other may start yet
    }
}

sched::MachineView Book::machine_view(const Machine& m, const model::MachineType& type, double now) const {
    sched::MachineView v;
    v.id = m.id, v.type = m.type, v.zone = m.zone, v.spot = m.spot;
    v.ready = usable(m, now);
    v.booting = !m.up && !m.listed_failed;
    v.free = type.room;
    for (const auto& [job, index] : m.tasks) {
        v.free -= job->record.need;
        if (job->spec) v.classes.insert(job->spec->job_class);
    }
    for (const auto& [image, gb] : m.images) v.images.push_back(image);
    v.busy = !m.tasks.empty();
    v.idle_s = v.busy ? 0 : now - m.idle_since;
    v.running = static_cast<double>(m.tasks.size());
    return v;
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
        touch(job, start.index);
        Slot s;
        s.index = start.index, s.attempt = job.gang_attempt, s.machine = start.machine;
        s.version = job.version;
        s.placed_at = now;
        spdlog::debug("task {}/{} attempt {} placed on {} (term {})", job.id, s.index, s.attempt, s.machine,
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

}  // namespace pineroad::control
