#include <algorithm>

#include "sched/picture.hpp"

namespace pineroad::sched {
namespace {

// PROTOCOL "Preemption" on top of the design's three tests: who may stop whom at all.
bool may_stop(const Picture& p, const JobView& waiting, const RunningGang& running) {
    if (waiting.priority < running.priority) return true;
    const auto &waiter = *waiting.spec, &victim = *running.spec;
    if (waiter.team == victim.team) return false;
    const auto *ours = p.settings->team(waiter.team), *theirs = p.settings->team(victim.team);
    if (!ours || !theirs || (ours->cpus <= 0 && ours->gpus <= 0)) return false;
    auto use_of = [&](const std::string& team) {
        const auto it = p.use.find(team);
        return it == p.use.end() ? TeamUse{} : it->second;
    };
    const auto mine = use_of(waiter.team), other = use_of(victim.team);
    const double n = waiter.shape == model::Shape::gang ? waiter.tasks : 1;
    const bool owed = mine.cpus + n * waiter.need.cpus <= ours->cpus + 1e-6 &&
                      mine.gpus + n * waiter.need.gpus <= ours->gpus + 1e-6;
    const bool beyond = other.cpus > theirs->cpus + 1e-6 || other.gpus > theirs->gpus + 1e-6;
    return owed && beyond;
}

bool is_victim(const Picture& p, const JobView& waiter, const RunningGang& victim) {
    if (!victim.stoppable || victim.spec->checkpoint_s <= 0) return false;
    if (!may_stop(p, waiter, victim)) return false;
    const auto& t = *p.tuning;
    if (waiter.xfactor < t.suspension_factor * victim.xfactor) return false;
    if (width(*victim.spec) > t.width_ratio * width(*waiter.spec)) return false;
    // The paper's prose bounds the victim, its formula the waiter; the design takes the prose. A category
    // nobody has finished in yet counts as one without any slowdown.
    const auto mean = p.means.find(category(*victim.spec, t));
    const double average = mean == p.means.end() || mean->second.count == 0 ? 1.0 : mean->second.mean;
    return victim.xfactor <= t.category_multiplier * average;
}

// Whether the waiter (a gang whole, an array with one task) fits once the machines have the given extra room.
bool fits(const Picture& p, const JobView& waiter, const std::map<std::string, model::Resources>& freed) {
    Picture trial;
    trial.machines = p.machines;
    trial.pools = p.pools;
    trial.use = p.use;
    trial.settings = p.settings;
    trial.tuning = p.tuning;
    for (auto& m : trial.machines)
        if (const auto it = freed.find(m.id); it != freed.end()) m.free += it->second;
    trial.jobs.push_back(waiter);
    trial.jobs.back().waited_s = 0;  // no holding inside the trial
    return !place(trial).empty();
}

}  // namespace

std::optional<Suspension> suspend(const Picture& p) {
    auto jobs = p.jobs;
    const auto order = waiting_line(jobs);
    for (const auto* waiter : order) {
        std::vector<const RunningGang*> candidates;
        for (const auto& g : p.gangs)
            if (is_victim(p, *waiter, g)) candidates.push_back(&g);
        if (candidates.empty()) continue;
        std::stable_sort(
            candidates.begin(), candidates.end(),
            [](const RunningGang* a, const RunningGang* b) { return width(*a->spec) > width(*b->spec); });
        // More victims make more room: the fewest that suffice are found by halving, not by trying each.
        const auto enough = [&](std::size_t n) {
            std::map<std::string, model::Resources> freed;
            for (std::size_t i = 0; i < n; ++i)
                for (const auto& m : candidates[i]->machines) freed[m] += candidates[i]->spec->need;
            return fits(p, *waiter, freed);
        };
        if (!enough(candidates.size())) continue;  // all of them make no room: no job is stopped
        std::size_t low = 1, high = candidates.size();
        while (low < high) {
            const auto middle = (low + high) / 2;
            if (enough(middle))
                high = middle;
            else
                low = middle + 1;
        }
        Suspension out{waiter->spec->id, {}};
        for (std::size_t i = 0; i < low; ++i) out.victims.push_back(candidates[i]->spec->id);
        return out;
    }
    return std::nullopt;
}

Hold hold(const Picture& p) {
    const JobView* holder = nullptr;
    for (const auto& j : p.jobs)
        if (!j.waiting.empty() && j.spec->shape == model::Shape::gang &&
            j.waited_s > p.tuning->holding_wait_s && (!holder || j.waited_s > holder->waited_s) &&
            within_limit(p, *j.spec, static_cast<double>(j.waiting.size())))
            holder = &j;
    if (!holder) return {};
    const auto& spec = *holder->spec;
    const auto suits = [&](const MachineView& m) {
        return m.ready && spec.need.fits_in(m.free) && allowed_on(spec, m.type, m.zone, m.spot) &&
               zone_ok(*holder, m.zone) && !holder->avoid.contains(m.id);
    };
    // Machines of two zones are of no use to a gang that must stay together: the zone with most room it is.
    std::map<std::string, int> room;
    for (const auto& m : p.machines)
        if (suits(m)) room[m.zone] += slots(spec, m.free);
    const auto widest = std::max_element(room.begin(), room.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    Hold out{spec.id, {}};
    auto missing = static_cast<int>(holder->waiting.size());
    for (const auto& m : p.machines) {
        if (missing <= 0) break;
        if (!suits(m) || (spec.one_zone && m.zone != widest->first)) continue;
        out.machines.insert(m.id);
        missing -= slots(spec, m.free);
    }
    return out;
}

}  // namespace pineroad::sched
