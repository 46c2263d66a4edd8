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
    for (const auto& [name, p] : mirror.progress) load_entry(mirror, name, p, now);
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

void Book::load_entry(const Mirror& mirror, const records::EntryName& name, const Mirror::Progress& progress,
                      double now) {
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
        if (!mirror.is_current(name, p)) continue;
        Slot s;
        s.index = p.index, s.attempt = p.attempt, s.machine = p.machine;
        s.inherited = true;
        s.placed_at = now;
        add_slot(job, std::move(s));
        job.gang_attempt = std::max(job.gang_attempt, p.attempt);
    }
}

// An earlier term was about to replace an entry of the whole job, and had written some parts.
void Book::load_unsplit_parts(Job& job) {
    if (!job.split || !job.parts.contains(0)) return;
    auto missing = further_parts(job);
    std::erase_if(missing, [&](std::uint32_t part) { return job.parts.contains(part); });
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
    return job.spec->dependencies.empty() || dependencies_->is_ready(job.id);
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
    const auto index = slot.index;
    machine(slot.machine).tasks.emplace_back(&job, index);
    return job.slots[index] = std::move(slot);
}

Slot Book::remove_slot(Job& job, Slots::iterator at) {
    Slot s = std::move(at->second);
    job.slots.erase(at);
    if (const auto m = machines_.find(s.machine); m != machines_.end())
        std::erase(m->second.tasks, std::pair(&job, s.index));
    return s;
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
        for (const auto& [job, index] : std::vector(it->second.tasks))
            lose(*job, index, "its machine is gone");
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
