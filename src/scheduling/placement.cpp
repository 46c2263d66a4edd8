#include <algorithm>
#include <climits>
#include <cmath>
#include <functional>
#include <string_view>
#include <tuple>

#include "config/constants.hpp"
#include "sched/picture.hpp"

namespace pineroad::sched {
namespace {

// What placing a job on each pool comes to; worked out once a job, not once a machine.
struct Suit {
    std::vector<double> fetch_s, price;  // by pool
    std::vector<bool> allowed;
    int choices = 0;
};

Suit suit(const Picture& p, const model::JobSpec& spec) {
    Suit out;
    for (const auto& pool : p.pools) {
        const auto& t = *pool.type;
        const bool ok = allowed_on(spec, t.name, pool.zone, pool.spot);
        out.allowed.push_back(ok);
        out.choices += ok && spec.need.fits_in(t.room);
        out.fetch_s.push_back(t.fetch_gb_per_s > 0 ? spec.image_gb / t.fetch_gb_per_s : 0);
        out.price.push_back(ok ? std::min(price_ratio(p, spec, t.name, pool.spot), 4.0) : 4.0);
    }
    return out;
}

bool holds(const MachineView& m, const model::JobSpec& spec) {
    return std::find(m.images.begin(), m.images.end(), spec.image) != m.images.end();
}

// Of a hundred small tasks of a stage one or two are lost with spot machines, and all that comes after waits.
double pipeline_cost(const MachineView& m) {
    if (!m.busy) return constants::pipeline_empty_cost_s;
    return m.spot ? constants::pipeline_spot_cost_s : 0;
}

// Smaller is better; seconds are the common measure.
double cost(const Suit& suit, const JobView& job, const MachineView& m, std::size_t pool) {
    const auto& spec = *job.spec;
    double c = job.in_pipeline ? pipeline_cost(m) : 0;
    if (!holds(m, spec)) c += suit.fetch_s[pool];
    // Work draws to cheap machines, and to those in use: the dear and empty ones can go back.
    c += (m.busy ? 2 : 8) * suit.price[pool];
    const double left = m.free.gpus - spec.need.gpus + 0.1 * (m.free.cpus - spec.need.cpus);
    c += 0.2 * left;  // best fit
    return c;
}

}  // namespace

double xfactor(double waited_s, double estimate_s) {
    const double e = std::max(estimate_s, 1.0);
    return (std::max(waited_s, 0.0) + e) / e;
}

std::vector<JobView*> waiting_line(std::vector<JobView>& jobs) {
    std::vector<JobView*> line;
    for (auto& j : jobs)
        if (!j.waiting.empty()) line.push_back(&j);
    std::stable_sort(line.begin(), line.end(),
                     [](const JobView* a, const JobView* b) { return a->xfactor > b->xfactor; });
    return line;
}

double width(const model::JobSpec& spec) {
    return spec.need.cpus * (spec.shape == model::Shape::gang ? spec.tasks : 1);
}

std::string category(const model::JobSpec& spec, const config::Tuning& t) {
    auto band = [](double v, double unit) { return v < unit ? 0 : v < 4 * unit ? 1 : v < 16 * unit ? 2 : 3; };
    return "w" + std::to_string(band(width(spec), t.category_width_cpus)) + "l" +
           std::to_string(band(spec.estimate_s, t.category_length_s));
}

bool allowed_on(const model::JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    return spec.allows_type(type) && (!spec.zone || *spec.zone == zone) && (!spot || spec.spot_ok);
}

bool zone_ok(const JobView& job, const std::string& zone) {
    if (job.spec->one_zone)
        for (const auto& [z, n] : job.in_zone)
            if (n > 0 && z != zone) return false;
    if (job.spec->spread) {
        const auto it = job.in_zone.find(zone);
        if ((it == job.in_zone.end() ? 0 : it->second) + 1 > (job.spec->tasks + 1) / 2) return false;
    }
    return true;
}

bool within_limit(const Picture& p, const model::JobSpec& spec, double n) {
    const auto* team = p.settings->team(spec.team);
    if (!team) return false;
    const auto it = p.use.find(spec.team);
    const TeamUse use = it == p.use.end() ? TeamUse{} : it->second;
    constexpr double slack = 1e-6;
    return (team->cpus_max <= 0 || use.cpus + n * spec.need.cpus <= team->cpus_max + slack) &&
           (team->gpus_max <= 0 || use.gpus + n * spec.need.gpus <= team->gpus_max + slack);
}

int slots(const model::JobSpec& spec, const model::Resources& room) {
    double n = 1e6;
    auto limit = [&](double need, double have) {
        if (need > 0) n = std::min(n, std::floor((have + 1e-6) / need));
    };
    limit(spec.need.cpus, room.cpus);
    limit(spec.need.gpus, room.gpus);
    limit(spec.need.memory_gb, room.memory_gb);
    return static_cast<int>(n);
}

double price_ratio(const Picture& p, const model::JobSpec& spec, const std::string& type, bool spot) {
    double cheapest = 0, own = 0;
    for (const auto& pool : p.pools) {
        const int n = slots(spec, pool.type->room);
        if (n < 1 || !allowed_on(spec, pool.type->name, pool.zone, pool.spot)) continue;
        const double price = pool.price() / n;
        if (cheapest <= 0 || price < cheapest) cheapest = price;
        if (pool.type->name == type && pool.spot == spot) own = price;
    }
    return cheapest > 0 && own > 0 ? std::max(1.0, own / cheapest) : 1.0;
}

int headroom(const Picture& p, const ClassDemand& d) {
    if (!d.start_within_s) return 0;
    double boot = 0;
    for (const auto& pool : p.pools)
        if (allowed_on(d.sample, pool.type->name, pool.zone, pool.spot) &&
            d.sample.need.fits_in(pool.type->room))
            boot = std::max(boot, pool.type->boot_s);
    // Arrivals of the time by which a boot overshoots the aim: a machine rented for them would come too late.
    return static_cast<int>(
        std::lround(p.tuning->headroom * d.arrivals_per_s * std::max(0.0, boot - *d.start_within_s)));
}

int choices(const Picture& p, const model::JobSpec& spec) {
    int n = 0;
    for (const auto& pool : p.pools)
        n += allowed_on(spec, pool.type->name, pool.zone, pool.spot) && spec.need.fits_in(pool.type->room);
    return n;
}

std::map<std::string, int> reserved(const Picture& p) {
    std::map<std::string, int> out;
    if (p.demand.empty()) return out;
    std::map<std::string_view, double> waiting;
    for (const auto& j : p.jobs) waiting[j.spec->job_class] += static_cast<double>(j.waiting.size());
    const auto pools = pools_of(p);
    for (const auto& [name, d] : p.demand) {
        double claim = headroom(p, d);
        if (const auto w = waiting.find(name); w != waiting.end()) claim += w->second;
        if (claim <= 0) continue;
        std::vector<bool> suits;
        int own = 0;
        for (const auto& pool : p.pools) {
            suits.push_back(allowed_on(d.sample, pool.type->name, pool.zone, pool.spot) &&
                            d.sample.need.fits_in(pool.type->room));
            own += suits.back();
        }
        suits.push_back(false);  // machines of no known pool
        // The emptiest first: they are free for the class soonest.
        std::vector<std::pair<const MachineView*, std::size_t>> usable;
        for (std::size_t i = 0; i < p.machines.size(); ++i) {
            const auto& m = p.machines[i];
            if ((m.ready || m.booting) && suits[pools[i]] && !m.classes.contains(name))
                usable.emplace_back(&m, pools[i]);
        }
        std::stable_sort(usable.begin(), usable.end(),
                         [](const auto& a, const auto& b) { return a.first->running < b.first->running; });
        for (const auto& [m, pool] : usable) {
            if (claim <= 0) break;
            claim -= std::max(1, slots(d.sample, p.pools[pool].type->room));
            auto [at, fresh] = out.try_emplace(m->id, own);
            at->second = std::min(at->second, own);
        }
    }
    return out;
}

std::vector<std::size_t> pools_of(const Picture& p) {
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

std::vector<Start> place(Picture& p) {
    std::vector<Start> out;
    const auto held = hold(p);
    const auto kept = reserved(p);
    const auto order = waiting_line(p.jobs);
    if (order.empty()) return out;

    // Machines with room for the smallest task that waits: only these are looked at, and at size most are
    // full.
    struct Open {
        MachineView* machine;
        std::size_t pool;
        int kept_for;  // work with more choices may not use it
        bool held;     // for the gang that holds
    };
    model::Resources least = order.front()->spec->need;
    for (const auto* j : order) {
        least.cpus = std::min(least.cpus, j->spec->need.cpus);
        least.gpus = std::min(least.gpus, j->spec->need.gpus);
        least.memory_gb = std::min(least.memory_gb, j->spec->need.memory_gb);
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
    const auto candidates = [&](const JobView& job, const Suit& s, const std::optional<std::string>& only,
                                bool image_only) {
        heap.clear();
        for (std::size_t i = 0; i < open.size(); ++i) {
            const auto& m = *open[i].machine;
            if (!job.spec->need.fits_in(m.free) || !s.allowed[open[i].pool] || s.choices > open[i].kept_for ||
                (open[i].held && job.spec->id != held.job) || (only && m.zone != *only) ||
                job.avoid.contains(m.id) || (image_only && !holds(m, *job.spec)))
                continue;
            heap.emplace_back(cost(s, job, m, open[i].pool), i);
        }
        std::make_heap(heap.begin(), heap.end(), std::greater<>());
    };
    const auto best = [&](const JobView& job) -> const Open* {
        while (!heap.empty()) {
            std::pop_heap(heap.begin(), heap.end(), std::greater<>());
            const auto at = heap.back().second;
            heap.pop_back();
            if (zone_ok(job, open[at].machine->zone)) return &open[at];
        }
        return nullptr;
    };
    const auto again = [&](const JobView& job, const Suit& s, const Open& o) {
        if (!job.spec->need.fits_in(o.machine->free)) return;
        heap.emplace_back(cost(s, job, *o.machine, o.pool), static_cast<std::size_t>(&o - open.data()));
        std::push_heap(heap.begin(), heap.end(), std::greater<>());
    };
    auto take = [&](JobView& job, MachineView& m, double sign) {
        m.free -= job.spec->need * sign;
        auto& n = job.in_zone[m.zone];
        n = sign > 0 ? n + 1 : n - 1;
        auto& use = p.use[job.spec->team];
        use.cpus += sign * job.spec->need.cpus;
        use.gpus += sign * job.spec->need.gpus;
    };
    auto settle = [&](const JobView& job, MachineView& m) {
        m.busy = true;
        m.idle_s = 0;
        if (!holds(m, *job.spec)) m.images.push_back(job.spec->image);
    };

    const auto serve = [&](JobView* job, bool image_only) {
        const auto& spec = *job->spec;
        const Suit s = suit(p, spec);
        if (spec.shape == model::Shape::gang) {
            // The whole gang or nothing. Together: every zone is tried on its own, the one with most room
            // first.
            if (image_only || !within_limit(p, spec, static_cast<double>(job->waiting.size()))) return;
            std::vector<std::pair<std::uint32_t, MachineView*>> taken;
            auto undo = [&] {
                for (auto& [index, m] : taken) take(*job, *m, -1);
                taken.clear();
            };
            auto attempt = [&](const std::optional<std::string>& only) {
                candidates(*job, s, only, false);
                for (const auto index : job->waiting) {
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
            if (!placed && spec.one_zone && job->waiting.size() > 1)
                for (const auto& zone : p.settings->zones)
                    if ((placed = attempt(zone))) break;
            if (!placed) return;
            for (auto& [index, m] : taken) {
                settle(*job, *m);
                out.push_back({spec.id, index, m->id});
            }
            job->waiting.clear();
            return;
        }
        std::size_t n = 0;
        candidates(*job, s, std::nullopt, image_only);
        while (n < job->waiting.size() && n < job->most && within_limit(p, spec, 1)) {
            const Open* o = best(*job);
            if (!o) break;
            take(*job, *o->machine, 1);
            settle(*job, *o->machine);
            out.push_back({spec.id, job->waiting[n], o->machine->id});
            ++n;
            again(*job, s, *o);
        }
        job->waiting.erase(job->waiting.begin(), job->waiting.begin() + static_cast<std::ptrdiff_t>(n));
        job->most -= static_cast<std::uint32_t>(n);
    };
    // What is held serves nobody until there is enough of it: then the holder goes first, whatever its
    // xfactor.
    for (auto* job : order)
        if (job->spec->id == held.job) serve(job, false);
    // Falling xfactor, but among jobs within a band of it those go first whose image is there: a fetch takes
    // a slot for half as long as a short task does (docs/design.md, exceptions).
    for (std::size_t first = 0, last = 0; first < order.size(); first = last) {
        const double floor = order[first]->xfactor / p.tuning->image_band;
        for (last = first + 1; last < order.size() && order[last]->xfactor > floor;) ++last;
        for (const bool image_only : {true, false})
            for (std::size_t i = first; i < last && !(image_only && last - first == 1); ++i)
                if (!order[i]->waiting.empty()) serve(order[i], image_only);
    }
    return out;
}

}  // namespace pineroad::sched
