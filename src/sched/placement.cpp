#include <algorithm>
#include <cmath>

#include "sched/picture.hpp"

namespace pineroad::sched {
namespace {

const model::MachineType* type_of(const Picture& p, const std::string& name) {
    for (const auto& pool : p.pools)
        if (pool.type->name == name) return pool.type;
    return nullptr;
}

// Smaller is better; seconds are the common measure.
double cost(const Picture& p, const model::JobSpec& spec, const MachineView& m) {
    const auto* t = type_of(p, m.type);
    double c = 0;
    const bool held = std::find(m.images.begin(), m.images.end(), spec.image) != m.images.end();
    if (!held && t && t->fetch_gb_per_s > 0) c += spec.image_gb / t->fetch_gb_per_s;
    // Work draws to cheap machines, and to those in use: the dear and empty ones can go back.
    c += (m.busy ? 2 : 8) * std::min(price_ratio(p, spec, m.type, m.spot), 4.0);
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
    for (const auto& [name, d] : p.demand) {
        const int own = choices(p, d.sample);
        double claim = headroom(p, d);
        for (const auto& j : p.jobs)
            if (j.spec->job_class == name) claim += static_cast<double>(j.waiting.size());
        if (claim <= 0) continue;
        // The emptiest first: they are free for the class soonest.
        std::vector<const MachineView*> usable;
        for (const auto& m : p.machines) {
            const auto* t = type_of(p, m.type);
            if ((m.ready || m.booting) && t && allowed_on(d.sample, m.type, m.zone, m.spot) &&
                d.sample.need.fits_in(t->room) && !m.classes.contains(name))
                usable.push_back(&m);
        }
        std::stable_sort(usable.begin(), usable.end(),
                         [](const MachineView* a, const MachineView* b) { return a->running < b->running; });
        for (const auto* m : usable) {
            if (claim <= 0) break;
            claim -= std::max(1, slots(d.sample, type_of(p, m->type)->room));
            auto [at, fresh] = out.try_emplace(m->id, own);
            at->second = std::min(at->second, own);
        }
    }
    return out;
}

std::vector<Start> place(Picture& p) {
    std::vector<Start> out;
    const auto held = held_machines(p);
    const auto kept = reserved(p);
    const auto order = waiting_line(p.jobs);

    auto best_machine = [&](const JobView& job, const std::optional<std::string>& only) -> MachineView* {
        MachineView* best = nullptr;
        double best_cost = 0;
        const int own_choices = choices(p, *job.spec);
        for (auto& m : p.machines) {
            if (only && m.zone != *only) continue;
            if (!m.ready || held.contains(m.id) || job.avoid.contains(m.id)) continue;
            if (!job.spec->need.fits_in(m.free) || !allowed_on(*job.spec, m.type, m.zone, m.spot) ||
                !zone_ok(job, m.zone))
                continue;
            if (const auto r = kept.find(m.id); r != kept.end() && own_choices > r->second) continue;
            const double c = cost(p, *job.spec, m);
            if (!best || c < best_cost) best = &m, best_cost = c;
        }
        return best;
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
        if (std::find(m.images.begin(), m.images.end(), job.spec->image) == m.images.end())
            m.images.push_back(job.spec->image);
    };

    for (auto* job : order) {
        const auto& spec = *job->spec;
        if (spec.shape == model::Shape::gang) {
            // The whole gang or nothing. Together: every zone is tried on its own, the one with most room
            // first.
            if (!within_limit(p, spec, static_cast<double>(job->waiting.size()))) continue;
            std::vector<std::pair<std::uint32_t, MachineView*>> taken;
            auto undo = [&] {
                for (auto& [piece, m] : taken) take(*job, *m, -1);
                taken.clear();
            };
            auto attempt = [&](const std::optional<std::string>& only) {
                for (const auto piece : job->waiting) {
                    MachineView* m = best_machine(*job, only);
                    if (!m) {
                        undo();
                        return false;
                    }
                    take(*job, *m, 1);
                    taken.emplace_back(piece, m);
                }
                return true;
            };
            bool placed = attempt(std::nullopt);
            if (!placed && spec.one_zone && job->waiting.size() > 1)
                for (const auto& zone : p.settings->zones)
                    if ((placed = attempt(zone))) break;
            if (!placed) continue;
            for (auto& [piece, m] : taken) {
                settle(*job, *m);
                out.push_back({spec.id, piece, m->id});
            }
            job->waiting.clear();
            continue;
        }
        std::size_t n = 0;
        while (n < job->waiting.size() && n < job->most && within_limit(p, spec, 1)) {
            auto* m = best_machine(*job, std::nullopt);
            if (!m) break;
            take(*job, *m, 1);
            settle(*job, *m);
            out.push_back({spec.id, job->waiting[n], m->id});
            ++n;
        }
        job->waiting.erase(job->waiting.begin(), job->waiting.begin() + static_cast<std::ptrdiff_t>(n));
    }
    return out;
}

}  // namespace pineroad::sched
