#include <algorithm>
#include <climits>
#include <cmath>
#include <functional>
#include <string_view>
#include <tuple>

#include "config/constants.hpp"
#include "scheduling/snapshot.hpp"

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

double xfactor(double waited_s, double estimate_s) {
    const double e = std::max(estimate_s, 1.0);
    return (std::max(waited_s, 0.0) + e) / e;
}

std::vector<PendingJob*> pending_queue(std::vector<PendingJob>& jobs) {
    std::vector<PendingJob*> line;
    for (auto& j : jobs)
        if (!j.pending_tasks.empty()) line.push_back(&j);
    std::stable_sort(line.begin(), line.end(),
                     [](const PendingJob* a, const PendingJob* b) { return a->xfactor > b->xfactor; });
    return line;
}

double width(const model::JobSpec& spec) {
    return spec.task_resources.cpus * (spec.shape == model::Shape::gang ? spec.task_count : 1);
}

std::string category(const model::JobSpec& spec, const config::Tuning& t) {
    auto band = [](double v, double unit) { return v < unit ? 0 : v < 4 * unit ? 1 : v < 16 * unit ? 2 : 3; };
    return "w" + std::to_string(band(width(spec), t.category_width_cpus)) + "l" +
           std::to_string(band(spec.estimate_s, t.category_length_s));
}

bool allowed_on(const model::JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    return spec.allows_type(type) && (!spec.zone || *spec.zone == zone) && (!spot || spec.allows_spot);
}

bool zone_allowed(const PendingJob& job, const std::string& zone) {
    if (job.spec->same_zone)
        for (const auto& [z, n] : job.tasks_by_zone)
            if (n > 0 && z != zone) return false;
    if (job.spec->spread) {
        const auto it = job.tasks_by_zone.find(zone);
        if ((it == job.tasks_by_zone.end() ? 0 : it->second) + 1 > (job.spec->task_count + 1) / 2)
            return false;
    }
    return true;
}

bool within_limit(const Snapshot& p, const model::JobSpec& spec, double n) {
    const auto* team = p.settings->team(spec.team);
    if (!team) return false;
    const auto it = p.usage.find(spec.team);
    const TeamUsage use = it == p.usage.end() ? TeamUsage{} : it->second;
    constexpr double slack = 1e-6;
    return (team->cpus_max <= 0 || use.cpus + n * spec.task_resources.cpus <= team->cpus_max + slack) &&
           (team->gpus_max <= 0 || use.gpus + n * spec.task_resources.gpus <= team->gpus_max + slack);
}

int task_capacity(const model::JobSpec& spec, const model::Resources& room) {
    double n = 1e6;
    auto limit = [&](double task_resources, double have) {
        if (task_resources > 0) n = std::min(n, std::floor((have + 1e-6) / task_resources));
    };
    limit(spec.task_resources.cpus, room.cpus);
    limit(spec.task_resources.gpus, room.gpus);
    limit(spec.task_resources.memory_gb, room.memory_gb);
    return static_cast<int>(n);
}

double price_ratio(const Snapshot& p, const model::JobSpec& spec, const std::string& type, bool spot) {
    double cheapest = 0, own = 0;
    for (const auto& pool : p.pools) {
        const int n = task_capacity(spec, pool.type->capacity);
        if (n < 1 || !allowed_on(spec, pool.type->name, pool.zone, pool.spot)) continue;
        const double price = pool.price() / n;
        if (cheapest <= 0 || price < cheapest) cheapest = price;
        if (pool.type->name == type && pool.spot == spot) own = price;
    }
    return cheapest > 0 && own > 0 ? std::max(1.0, own / cheapest) : 1.0;
}

int headroom(const Snapshot& p, const ClassDemand& d) {
    if (!d.start_within_s) return 0;
    double boot = 0;
    for (const auto& pool : p.pools)
        if (allowed_on(d.sample, pool.type->name, pool.zone, pool.spot) &&
            d.sample.task_resources.fits_in(pool.type->capacity))
            boot = std::max(boot, pool.type->boot_s);
    // Arrivals of the time by which a boot overshoots the aim: a machine rented for them would come too late.
    return static_cast<int>(
        std::lround(p.tuning->headroom * d.arrivals_per_s * std::max(0.0, boot - *d.start_within_s)));
}

int eligible_pool_count(const Snapshot& p, const model::JobSpec& spec) {
    int n = 0;
    for (const auto& pool : p.pools)
        n += allowed_on(spec, pool.type->name, pool.zone, pool.spot) &&
             spec.task_resources.fits_in(pool.type->capacity);
    return n;
}

std::map<std::string, int> constrained_class_reservations(const Snapshot& p) {
    std::map<std::string, int> out;
    if (p.demand.empty()) return out;
    std::map<std::string_view, double> waiting;
    for (const auto& j : p.jobs) waiting[j.spec->job_class] += static_cast<double>(j.pending_tasks.size());
    const auto pools = pools_of(p);
    for (const auto& [name, d] : p.demand) {
        double claim = headroom(p, d);
        if (const auto w = waiting.find(name); w != waiting.end()) claim += w->second;
        if (claim <= 0) continue;
        std::vector<bool> suits;
        int own = 0;
        for (const auto& pool : p.pools) {
            suits.push_back(allowed_on(d.sample, pool.type->name, pool.zone, pool.spot) &&
                            d.sample.task_resources.fits_in(pool.type->capacity));
            own += suits.back();
        }
        suits.push_back(false);  // machines of no known pool
        // The emptiest first: they are free for the class soonest.
        std::vector<std::pair<const MachineSnapshot*, std::size_t>> usable;
        for (std::size_t i = 0; i < p.machines.size(); ++i) {
            const auto& m = p.machines[i];
            if ((m.ready || m.booting) && suits[pools[i]] && !m.classes.contains(name))
                usable.emplace_back(&m, pools[i]);
        }
        std::stable_sort(usable.begin(), usable.end(), [](const auto& a, const auto& b) {
            return a.first->running_tasks < b.first->running_tasks;
        });
        for (const auto& [m, pool] : usable) {
            if (claim <= 0) break;
            claim -= std::max(1, task_capacity(d.sample, p.pools[pool].type->capacity));
            auto [at, fresh] = out.try_emplace(m->id, own);
            at->second = std::min(at->second, own);
        }
    }
    return out;
}

std::vector<std::size_t> pools_of(const Snapshot& p) {
    std::map<std::tuple<std::string_view, std::string_view, bool>, std::size_t> index;
    for (std::size_t i = 0; i < p.pools.size(); ++i)
        index[{p.pools[i].type->name, p.pools[i].zone, p.pools[i].spot}] = i;
    std::vector<std::size_t> out;
    out.reserve(p.machines.size());
    for (const auto& m : p.machines) {
        const auto it = index.find({m.type, m.zone, m.spot});
        out.push_back(it == index.end() ? p.pools.size() : it->second);
    }
    return out;
}

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
