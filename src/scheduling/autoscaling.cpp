#include <algorithm>
#include <cmath>
#include <utility>

#include "sched/picture.hpp"

namespace pineroad::sched {
namespace {

struct Room {
    std::string type, zone;
    bool spot = false;
    model::Resources free;
    int kept_for = 1 << 20;  // work with more choices may not use it
};

}  // namespace

CapacityPlan capacity(Picture p) {
    CapacityPlan out;
    std::vector<Room> rooms;  // machines on their way, then those rented here
    const auto kept = reserved(p);
    for (const auto& m : p.machines)
        if (m.booting) {
            const auto r = kept.find(m.id);
            rooms.push_back({m.type, m.zone, m.spot, m.free, r == kept.end() ? 1 << 20 : r->second});
        }

    // A gang that holds machines needs so many fewer.
    const auto held = hold(p);
    for (auto& j : p.jobs)
        if (j.spec->id == held.job)
            j.waiting.resize(j.waiting.size() - std::min(j.waiting.size(), held.machines.size()));
    const auto order = waiting_line(p.jobs);

    struct Queue {
        double work = 0;   // task-seconds waiting
        double slots = 0;  // running, on their way, rented here
    };
    std::map<std::string, Queue> queues;
    for (const auto* job : order)
        queues[job->spec->job_class].work += static_cast<double>(job->waiting.size()) * job->expected_s;
    for (const auto& [name, d] : p.demand) queues[name].slots = d.running;
    double boot = 0;
    for (const auto& pool : p.pools) boot = std::max(boot, pool.type->boot_s);

    // As many of the job's waiting tasks as fit into the rooms from the given one on.
    auto put = [&](JobView& job, std::size_t first_room) {
        const auto& spec = *job.spec;
        std::size_t n = 0;
        const int own_choices = choices(p, spec);
        for (std::size_t i = first_room; i < rooms.size() && n < job.waiting.size(); ++i) {
            auto& r = rooms[i];
            if (!spec.need.fits_in(r.free) || own_choices > r.kept_for ||
                !allowed_on(spec, r.type, r.zone, r.spot) || !zone_ok(job, r.zone))
                continue;
            while (n < job.waiting.size() && spec.need.fits_in(r.free) && within_limit(p, spec, 1)) {
                r.free -= spec.need;
                ++job.in_zone[r.zone];
                auto& use = p.use[spec.team];
                use.cpus += spec.need.cpus;
                use.gpus += spec.need.gpus;
                ++n;
                ++queues[spec.job_class].slots;
                if (!zone_ok(job, r.zone)) break;
            }
        }
        job.waiting.erase(job.waiting.begin(), job.waiting.begin() + static_cast<std::ptrdiff_t>(n));
        return job.waiting.empty();
    };
    auto rent = [&](const Pool& pool) {
        rooms.push_back({pool.type->name, pool.zone, pool.spot, pool.type->room});
        for (auto& r : out.rent)
            if (r.type == pool.type->name && r.zone == pool.zone && r.spot == pool.spot) {
                ++r.count;
                return;
            }
        out.rent.push_back({pool.type->name, pool.zone, pool.spot, 1});
    };
    // Cheapest per task, counting only slots that the waiting tasks would fill.
    auto cheapest = [&](const JobView& job, double tasks) -> const Pool* {
        const Pool* best = nullptr;
        double best_price = 0;
        for (const auto& pool : p.pools) {
            const auto& spec = *job.spec;
            if (pool.refused || !allowed_on(spec, pool.type->name, pool.zone, pool.spot) ||
                !zone_ok(job, pool.zone))
                continue;
            const int n = slots(spec, pool.type->room);
            if (n < 1) continue;
            const double price = pool.price() / std::min<double>(n, std::max(tasks, 1.0));
            if (!best || price < best_price) best = &pool, best_price = price;
        }
        return best;
    };

    // The only zone that the job may still use, or none in particular.
    auto bound_to = [](const JobView& job) -> std::string {
        if (job.spec->zone) return *job.spec->zone;
        if (job.spec->one_zone)
            for (const auto& [zone, n] : job.in_zone)
                if (n > 0) return zone;
        return "";
    };
    // Tasks of the class that run where the job may go: what ends in another zone makes no room for it.
    // (Found by a test of a lost zone: a job bound to it waited for ever behind tasks of its class in the
    // other one.)
    auto running_for = [&](const JobView& job, const std::string& zone) {
        const auto demand = p.demand.find(job.spec->job_class);
        const double all = demand == p.demand.end() ? 0 : demand->second.running;
        if (zone.empty()) return all;
        double there = 0;
        for (const auto& m : p.machines)
            if (m.zone == zone && m.classes.contains(job.spec->job_class)) there += m.running;
        return std::min(all, there);
    };
    std::map<std::pair<std::string, std::string>, double>
        absorbed;  // task-seconds of a class, by zone, that its running tasks make room for in time
    for (auto* job : order) {
        const auto& spec = *job->spec;
        if (spec.shape == model::Shape::array) {
            // A slot serves several short tasks one after the other while a new machine would boot, or while
            // the aim can wait: that many slots are needed less.
            const auto zone = bound_to(*job);
            const double running = running_for(*job, zone);
            const double horizon = std::max(p.tuning->queue_patience * job->slack_s, p.tuning->drain * boot);
            const double each = job->expected_s;
            double work = static_cast<double>(job->waiting.size()) * each;
            auto& taken = absorbed[{spec.job_class, zone}];
            const double soon = std::clamp(running * horizon - taken, 0.0, work);
            taken += soon;
            work -= soon;
            const double needed = std::ceil(work / std::max(horizon, each) - 0.01);
            job->waiting.resize(
                static_cast<std::size_t>(std::clamp(needed, 0.0, static_cast<double>(job->waiting.size()))));
        }
        if (job->waiting.empty() || put(*job, 0)) continue;
        double same_class = 0;
        for (const auto* other : order)
            if (other->spec->job_class == spec.job_class)
                same_class += static_cast<double>(other->waiting.size());
        while (!job->waiting.empty()) {
            if (!within_limit(p, spec, 1)) break;
            const Pool* pool = cheapest(*job, same_class);
            if (!pool) break;
            // A dear machine is worth a longer queue than a cheap one: others may come free before it has
            // booted.
            const auto& queue = queues[spec.job_class];
            const double longer =
                std::pow(price_ratio(p, spec, pool->type->name, pool->spot), p.tuning->price_patience) - 1;
            if (spec.shape == model::Shape::array && running_for(*job, bound_to(*job)) > 0 &&
                queue.work < queue.slots * p.tuning->drain * boot * longer)
                break;
            rent(*pool);
            const auto before = job->waiting.size();
            put(*job, rooms.size() - 1);
            if (job->waiting.size() == before) break;
            same_class -= static_cast<double>(before - job->waiting.size());
        }
    }

    // Reserve for classes whose starting aim is shorter than a boot.
    std::set<std::string> keep = held.machines;
    for (const auto& [name, d] : p.demand) {
        int missing = headroom(p, d);
        // Spare machines nearest to use first: cheapest to keep.
        for (const auto& m : p.machines) {
            if (missing <= 0) break;
            if (!m.ready || m.busy || keep.contains(m.id)) continue;
            if (!allowed_on(d.sample, m.type, m.zone, m.spot) || !d.sample.need.fits_in(m.free)) continue;
            keep.insert(m.id);
            --missing;
        }
        for (auto& r : rooms) {
            if (missing <= 0) break;
            if (!allowed_on(d.sample, r.type, r.zone, r.spot) || !d.sample.need.fits_in(r.free)) continue;
            r.free -= d.sample.need;
            --missing;
        }
        JobView view;
        view.spec = &d.sample;
        for (; missing > 0; --missing) {
            const Pool* pool = cheapest(view, 1);
            if (!pool) break;
            rent(*pool);
            rooms.back().free -= d.sample.need;
        }
    }
    // The dearer a machine for the work that comes, the less it is worth waiting for some.
    for (const auto& m : p.machines) {
        if (!m.ready || m.busy || keep.contains(m.id)) continue;
        double worth = p.demand.empty() ? 1.0 : 0.0;
        for (const auto& [name, d] : p.demand)
            if (d.arrivals_per_s > 0 && allowed_on(d.sample, m.type, m.zone, m.spot) &&
                d.sample.need.fits_in(m.free))
                worth = std::max(worth, 1.0 / price_ratio(p, d.sample, m.type, m.spot));
        if (m.idle_s >= p.tuning->idle_hold_s * worth) out.give_back.push_back(m.id);
    }
    return out;
}

}  // namespace pineroad::sched
