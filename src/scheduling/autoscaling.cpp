#include "scheduling/autoscaling.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduling/eligibility.hpp"
#include "scheduling/reservation.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::scheduling {
namespace {

struct Room {
    std::string type, zone;
    bool spot = false;
    model::Resources free;
    int reserved_for_pool_count = 1 << 20;  // work with more choices may not use it
};

}  // namespace

AutoscalingPlan plan_autoscaling(Snapshot p) {
    AutoscalingPlan out;
    std::vector<Room> rooms;  // machines on their way, then those rented here
    const auto kept = constrained_class_reservations(p);
    for (const auto& m : p.machines)
        if (m.booting) {
            const auto r = kept.find(m.id);
            rooms.push_back({m.type, m.zone, m.spot, m.free, r == kept.end() ? 1 << 20 : r->second});
        }

    // A gang that holds machines needs so many fewer.
    const auto held = reserve_machines(p);
    for (auto& j : p.jobs)
        if (j.spec->id == held.job)
            j.pending_tasks.resize(j.pending_tasks.size() -
                                   std::min(j.pending_tasks.size(), held.machines.size()));
    const auto order = pending_queue(p.jobs);

    struct Queue {
        double work = 0;   // task-seconds waiting
        double slots = 0;  // running, on their way, rented here
    };
    std::map<std::string, Queue> queues;
    for (const auto* job : order)
        queues[job->spec->job_class].work += static_cast<double>(job->pending_tasks.size()) * job->expected_s;
    for (const auto& [name, d] : p.demand) queues[name].slots = d.running_tasks;
    double boot = 0;
    for (const auto& pool : p.pools) boot = std::max(boot, pool.type->boot_s);

    // As many of the job's waiting tasks as fit into the rooms from the given one on.
    auto put = [&](PendingJob& job, std::size_t first_room) {
        const auto& spec = *job.spec;
        std::size_t n = 0;
        const int own_eligible_pool_count = eligible_pool_count(p, spec);
        for (std::size_t i = first_room; i < rooms.size() && n < job.pending_tasks.size(); ++i) {
            auto& r = rooms[i];
            if (!spec.task_resources.fits_in(r.free) || own_eligible_pool_count > r.reserved_for_pool_count ||
                !allowed_on(spec, r.type, r.zone, r.spot) || !zone_allowed(job, r.zone))
                continue;
            while (n < job.pending_tasks.size() && spec.task_resources.fits_in(r.free) &&
                   within_limit(p, spec, 1)) {
                r.free -= spec.task_resources;
                ++job.tasks_by_zone[r.zone];
                auto& use = p.usage[spec.team];
                use.cpus += spec.task_resources.cpus;
                use.gpus += spec.task_resources.gpus;
                ++n;
                ++queues[spec.job_class].slots;
                if (!zone_allowed(job, r.zone)) break;
            }
        }
        job.pending_tasks.erase(job.pending_tasks.begin(),
                                job.pending_tasks.begin() + static_cast<std::ptrdiff_t>(n));
        return job.pending_tasks.empty();
    };
    auto rent = [&](const MachinePool& pool) {
        rooms.push_back({pool.type->name, pool.zone, pool.spot, pool.type->capacity});
        for (auto& r : out.scale_out)
            if (r.type == pool.type->name && r.zone == pool.zone && r.spot == pool.spot) {
                ++r.count;
                return;
            }
        out.scale_out.push_back({pool.type->name, pool.zone, pool.spot, 1});
    };
    // Cheapest per task, counting only slots that the waiting tasks would fill.
    auto cheapest = [&](const PendingJob& job, double tasks) -> const MachinePool* {
        const MachinePool* best = nullptr;
        double best_price = 0;
        for (const auto& pool : p.pools) {
            const auto& spec = *job.spec;
            if (pool.refused || !allowed_on(spec, pool.type->name, pool.zone, pool.spot) ||
                !zone_allowed(job, pool.zone))
                continue;
            const int n = task_capacity(spec, pool.type->capacity);
            if (n < 1) continue;
            const double price = pool.price() / std::min<double>(n, std::max(tasks, 1.0));
            if (!best || price < best_price) best = &pool, best_price = price;
        }
        return best;
    };

    // The only zone that the job may still use, or none in particular.
    auto required_zone = [](const PendingJob& job) -> std::string {
        if (job.spec->zone) return *job.spec->zone;
        if (job.spec->same_zone)
            for (const auto& [zone, n] : job.tasks_by_zone)
                if (n > 0) return zone;
        return "";
    };
    // Tasks of the class that run where the job may go: what ends in another zone makes no room for it.
    // (Found by a test of a lost zone: a job bound to it waited for ever behind tasks of its class in the
    // other one.)
    auto running_for = [&](const PendingJob& job, const std::string& zone) {
        const auto demand = p.demand.find(job.spec->job_class);
        const double all = demand == p.demand.end() ? 0 : demand->second.running_tasks;
        if (zone.empty()) return all;
        double there = 0;
        for (const auto& m : p.machines)
            if (m.zone == zone && m.classes.contains(job.spec->job_class)) there += m.running_tasks;
        return std::min(all, there);
    };
    std::map<std::pair<std::string, std::string>, double>
        served_by_running;  // task-seconds of a class, by zone, that its running tasks make room for in time
    for (auto* job : order) {
        const auto& spec = *job->spec;
        if (spec.shape == model::Shape::array) {
            // A slot serves several short tasks one after the other while a new machine would boot, or while
            // the aim can wait: that many slots are needed less.
            const auto zone = required_zone(*job);
            const double running = running_for(*job, zone);
            const double horizon =
                std::max(p.tuning->queue_patience * job->slack_s, p.tuning->drain_boot_times * boot);
            const double each = job->expected_s;
            double work = static_cast<double>(job->pending_tasks.size()) * each;
            auto& taken = served_by_running[{spec.job_class, zone}];
            const double soon = std::clamp(running * horizon - taken, 0.0, work);
            taken += soon;
            work -= soon;
            const double needed = std::ceil(work / std::max(horizon, each) - 0.01);
            job->pending_tasks.resize(static_cast<std::size_t>(
                std::clamp(needed, 0.0, static_cast<double>(job->pending_tasks.size()))));
        }
        if (job->pending_tasks.empty() || put(*job, 0)) continue;
        double same_class = 0;
        for (const auto* other : order)
            if (other->spec->job_class == spec.job_class)
                same_class += static_cast<double>(other->pending_tasks.size());
        while (!job->pending_tasks.empty()) {
            if (!within_limit(p, spec, 1)) break;
            const MachinePool* pool = cheapest(*job, same_class);
            if (!pool) break;
            // A dear machine is worth a longer queue than a cheap one: others may come free before it has
            // booted.
            const auto& queue = queues[spec.job_class];
            const double longer =
                std::pow(price_ratio(p, spec, pool->type->name, pool->spot), p.tuning->price_patience) - 1;
            if (spec.shape == model::Shape::array && running_for(*job, required_zone(*job)) > 0 &&
                queue.work < queue.slots * p.tuning->drain_boot_times * boot * longer)
                break;
            rent(*pool);
            const auto before = job->pending_tasks.size();
            put(*job, rooms.size() - 1);
            if (job->pending_tasks.size() == before) break;
            same_class -= static_cast<double>(before - job->pending_tasks.size());
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
            if (!allowed_on(d.sample, m.type, m.zone, m.spot) || !d.sample.task_resources.fits_in(m.free))
                continue;
            keep.insert(m.id);
            --missing;
        }
        for (auto& r : rooms) {
            if (missing <= 0) break;
            if (!allowed_on(d.sample, r.type, r.zone, r.spot) || !d.sample.task_resources.fits_in(r.free))
                continue;
            r.free -= d.sample.task_resources;
            --missing;
        }
        PendingJob view;
        view.spec = &d.sample;
        for (; missing > 0; --missing) {
            const MachinePool* pool = cheapest(view, 1);
            if (!pool) break;
            rent(*pool);
            rooms.back().free -= d.sample.task_resources;
        }
    }
    // The dearer a machine for the work that comes, the less it is worth waiting for some.
    for (const auto& m : p.machines) {
        if (!m.ready || m.busy || keep.contains(m.id)) continue;
        double worth = p.demand.empty() ? 1.0 : 0.0;
        for (const auto& [name, d] : p.demand)
            if (d.arrivals_per_s > 0 && allowed_on(d.sample, m.type, m.zone, m.spot) &&
                d.sample.task_resources.fits_in(m.free))
                worth = std::max(worth, 1.0 / price_ratio(p, d.sample, m.type, m.spot));
        if (m.idle_s >= p.tuning->idle_timeout_s * worth) out.scale_in.push_back(m.id);
    }
    return out;
}

}  // namespace pineroad::scheduling
