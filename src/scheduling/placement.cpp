#include "scheduling/placement.hpp"

#include <algorithm>
#include <climits>
#include <cmath>
#include <functional>
#include <string_view>
#include <tuple>

#include "config/constants.hpp"
#include "scheduling/eligibility.hpp"
#include "scheduling/reservation.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::scheduling {
namespace {

// What placing a job on each pool comes to; worked out once a job, not once a machine.
struct Suit {
    std::vector<double> fetch_s, price;  // by pool
    std::vector<bool> allowed;
    int eligible_pool_count = 0;
};

Suit suit(const Snapshot& p, const model::JobSpec& spec) {
    Suit out;
    for (const auto& pool : p.pools) {
        const auto& t = *pool.type;
        const bool ok = allowed_on(spec, t.name, pool.zone, pool.spot);
        out.allowed.push_back(ok);
        out.eligible_pool_count += ok && spec.task_resources.fits_in(t.capacity);
        out.fetch_s.push_back(t.fetch_gb_per_s > 0 ? spec.image_gb / t.fetch_gb_per_s : 0);
        out.price.push_back(ok ? std::min(price_ratio(p, spec, t.name, pool.spot), 4.0) : 4.0);
    }
    return out;
}

bool holds(const MachineSnapshot& m, const model::JobSpec& spec) {
    return std::find(m.images.begin(), m.images.end(), spec.image) != m.images.end();
}

// Of a hundred small tasks of a stage one or two are lost with spot machines, and all that comes after waits.
double pipeline_cost(const MachineSnapshot& m) {
    if (!m.busy) return constants::pipeline_empty_cost_s;
    return m.spot ? constants::pipeline_spot_cost_s : 0;
}

// Smaller is better; seconds are the common measure.
double cost(const Suit& suit, const PendingJob& job, const MachineSnapshot& m, std::size_t pool) {
    const auto& spec = *job.spec;
    double c = job.in_pipeline ? pipeline_cost(m) : 0;
    if (!holds(m, spec)) c += suit.fetch_s[pool];
    // Work draws to cheap machines, and to those in use: the dear and empty ones can go back.
    c += (m.busy ? 2 : 8) * suit.price[pool];
    const double left =
        m.free.gpus - spec.task_resources.gpus + 0.1 * (m.free.cpus - spec.task_resources.cpus);
    c += 0.2 * left;  // best fit
    return c;
}

}  // namespace

std::vector<PlacementDecision> place_tasks(Snapshot& p) {
    std::vector<PlacementDecision> out;
    const auto held = reserve_machines(p);
    const auto kept = constrained_class_reservations(p);
    const auto order = pending_queue(p.jobs);
    if (order.empty()) return out;

    // Machines with room for the smallest task that waits: only these are looked at, and at size most are
    // full.
    struct Open {
        MachineSnapshot* machine;
        std::size_t pool;
        int reserved_for_pool_count;  // work with more choices may not use it
        bool held;                    // for the gang that holds
    };
    model::Resources least = order.front()->spec->task_resources;
    for (const auto* j : order) {
        least.cpus = std::min(least.cpus, j->spec->task_resources.cpus);
        least.gpus = std::min(least.gpus, j->spec->task_resources.gpus);
        least.memory_gb = std::min(least.memory_gb, j->spec->task_resources.memory_gb);
    }
    std::vector<Open> open;
    const auto pools = pools_of(p);
    for (std::size_t i = 0; i < p.machines.size(); ++i) {
        auto& m = p.machines[i];
        if (!m.ready || pools[i] == p.pools.size() || !least.fits_in(m.free)) continue;
        const auto r = kept.find(m.id);
        open.push_back({&m, pools[i], r == kept.end() ? INT_MAX : r->second, held.machines.contains(m.id)});
    }
    // A job's tasks are alike: one pass finds its machines, best first; a machine that was given one goes
    // back into the heap with its new cost.
    using Candidate = std::pair<double, std::size_t>;  // cost, place in `open`
    std::vector<Candidate> heap;
    const auto candidates = [&](const PendingJob& job, const Suit& s, const std::optional<std::string>& only,
                                bool image_only) {
        heap.clear();
        for (std::size_t i = 0; i < open.size(); ++i) {
            const auto& m = *open[i].machine;
            if (!job.spec->task_resources.fits_in(m.free) || !s.allowed[open[i].pool] ||
                s.eligible_pool_count > open[i].reserved_for_pool_count ||
                (open[i].held && job.spec->id != held.job) || (only && m.zone != *only) ||
                job.excluded_machines.contains(m.id) || (image_only && !holds(m, *job.spec)))
                continue;
            heap.emplace_back(cost(s, job, m, open[i].pool), i);
        }
        std::make_heap(heap.begin(), heap.end(), std::greater<>());
    };
    const auto best = [&](const PendingJob& job) -> const Open* {
        while (!heap.empty()) {
            std::pop_heap(heap.begin(), heap.end(), std::greater<>());
            const auto at = heap.back().second;
            heap.pop_back();
            if (zone_allowed(job, open[at].machine->zone)) return &open[at];
        }
        return nullptr;
    };
    const auto again = [&](const PendingJob& job, const Suit& s, const Open& o) {
        if (!job.spec->task_resources.fits_in(o.machine->free)) return;
        heap.emplace_back(cost(s, job, *o.machine, o.pool), static_cast<std::size_t>(&o - open.data()));
        std::push_heap(heap.begin(), heap.end(), std::greater<>());
    };
    auto take = [&](PendingJob& job, MachineSnapshot& m, double sign) {
        m.free -= job.spec->task_resources * sign;
        auto& n = job.tasks_by_zone[m.zone];
        n = sign > 0 ? n + 1 : n - 1;
        auto& use = p.usage[job.spec->team];
        use.cpus += sign * job.spec->task_resources.cpus;
        use.gpus += sign * job.spec->task_resources.gpus;
    };
    auto settle = [&](const PendingJob& job, MachineSnapshot& m) {
        m.busy = true;
        m.idle_s = 0;
        if (!holds(m, *job.spec)) m.images.push_back(job.spec->image);
    };

    const auto serve = [&](PendingJob* job, bool image_only) {
        const auto& spec = *job->spec;
        const Suit s = suit(p, spec);
        if (spec.shape == model::Shape::gang) {
            // The whole gang or nothing. Together: every zone is tried on its own, the one with most room
            // first.
            if (image_only || !within_limit(p, spec, static_cast<double>(job->pending_tasks.size()))) return;
            std::vector<std::pair<std::uint32_t, MachineSnapshot*>> taken;
            auto undo = [&] {
                for (auto& [index, m] : taken) take(*job, *m, -1);
                taken.clear();
            };
            auto attempt = [&](const std::optional<std::string>& only) {
                candidates(*job, s, only, false);
                for (const auto index : job->pending_tasks) {
                    const Open* o = best(*job);
                    if (!o) {
                        undo();
                        return false;
                    }
                    take(*job, *o->machine, 1);
                    taken.emplace_back(index, o->machine);
                    again(*job, s, *o);
                }
                return true;
            };
            bool placed = attempt(std::nullopt);
            if (!placed && spec.same_zone && job->pending_tasks.size() > 1)
                for (const auto& zone : p.settings->zones)
                    if ((placed = attempt(zone))) break;
            if (!placed) return;
            for (auto& [index, m] : taken) {
                settle(*job, *m);
                out.push_back({spec.id, index, m->id});
            }
            job->pending_tasks.clear();
            return;
        }
        std::size_t n = 0;
        candidates(*job, s, std::nullopt, image_only);
        while (n < job->pending_tasks.size() && n < job->max_placements && within_limit(p, spec, 1)) {
            const Open* o = best(*job);
            if (!o) break;
            take(*job, *o->machine, 1);
            settle(*job, *o->machine);
            out.push_back({spec.id, job->pending_tasks[n], o->machine->id});
            ++n;
            again(*job, s, *o);
        }
        job->pending_tasks.erase(job->pending_tasks.begin(),
                                 job->pending_tasks.begin() + static_cast<std::ptrdiff_t>(n));
        job->max_placements -= static_cast<std::uint32_t>(n);
    };
    // What is held serves nobody until there is enough of it: then the holder goes first, whatever its
    // xfactor.
    for (auto* job : order)
        if (job->spec->id == held.job) serve(job, false);
    // Falling xfactor, but among jobs within a band of it those go first whose image is there: a fetch takes
    // a slot for half as long as a short task does (docs/design.md, exceptions).
    for (std::size_t first = 0, last = 0; first < order.size(); first = last) {
        const double floor = order[first]->xfactor / p.tuning->image_locality_band;
        for (last = first + 1; last < order.size() && order[last]->xfactor > floor;) ++last;
        for (const bool image_only : {true, false})
            for (std::size_t i = first; i < last && !(image_only && last - first == 1); ++i)
                if (!order[i]->pending_tasks.empty()) serve(order[i], image_only);
    }
    return out;
}

}  // namespace pineroad::scheduling
