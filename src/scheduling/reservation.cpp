#include "scheduling/reservation.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "config/constants.hpp"
#include "scheduling/eligibility.hpp"

namespace pineroad::scheduling {
namespace {

// Returns the gang that has waited longest among those that have waited longer than `reservation_wait_s` and
// whose pending tasks fit into their team's quota; nullptr if there is none.
const PendingJob* reservation_holder(const Snapshot& snapshot) {
    const PendingJob* holder = nullptr;
    for (const auto& job : snapshot.jobs)
        if (!job.pending_tasks.empty() && job.spec->shape == model::Shape::gang &&
            job.waited_s > snapshot.tuning->reservation_wait_s &&
            (!holder || job.waited_s > holder->waited_s) &&
            within_team_quota(snapshot, *job.spec, static_cast<double>(job.pending_tasks.size())))
            holder = &job;
    return holder;
}

bool has_capacity_for(const PendingJob& holder, const MachineSnapshot& machine) {
    const auto& spec = *holder.spec;
    return machine.ready && spec.task_resources.fits_in(machine.free) && allowed_on(spec, machine) &&
           zone_allowed(holder, machine.zone) && !holder.excluded_machines.contains(machine.id);
}

// Returns the zone with room for most of the holder's tasks; empty if no zone has room.
std::string zone_with_most_capacity(const Snapshot& snapshot, const PendingJob& holder) {
    std::map<std::string, std::int64_t> tasks_by_zone;  // many machines with room for up to 10^6 tasks each
    for (const auto& machine : snapshot.machines)
        if (has_capacity_for(holder, machine))
            tasks_by_zone[machine.zone] += task_capacity(*holder.spec, machine.free);
    const auto best_zone = std::max_element(tasks_by_zone.begin(), tasks_by_zone.end(),
                                            [](const auto& a, const auto& b) { return a.second < b.second; });
    return best_zone == tasks_by_zone.end() ? std::string() : best_zone->first;
}

// The pools that can run a job class, by index, and their number.
struct EligiblePools {
    std::vector<bool> eligible;
    int count = 0;
};

EligiblePools eligible_pools(const Snapshot& snapshot, const model::JobSpec& spec) {
    EligiblePools pools;
    for (const auto& pool : snapshot.pools) {
        pools.eligible.push_back(can_run_on(spec, pool));
        pools.count += pools.eligible.back();
    }
    pools.eligible.push_back(false);  // machines of an unknown pool
    return pools;
}

struct PooledMachine {
    const MachineSnapshot* machine;
    std::size_t pool;  // index into the snapshot's pools
};

// Returns the machines in these pools that have no task of the class yet, those with the fewest tasks first:
// they become free soonest.
std::vector<PooledMachine> usable_machines(const Snapshot& snapshot, const std::string& job_class,
                                           const EligiblePools& pools,
                                           const std::vector<std::size_t>& pool_by_machine) {
    std::vector<PooledMachine> usable;
    for (std::size_t i = 0; i < snapshot.machines.size(); ++i) {
        const auto& machine = snapshot.machines[i];
        if ((machine.ready || machine.booting) && pools.eligible[pool_by_machine[i]] &&
            !machine.job_classes.contains(job_class))
            usable.push_back({&machine, pool_by_machine[i]});
    }
    std::stable_sort(usable.begin(), usable.end(), [](const PooledMachine& a, const PooledMachine& b) {
        return a.machine->running_tasks < b.machine->running_tasks;
    });
    return usable;
}

}  // namespace

Reservation reserve_machines(const Snapshot& snapshot) {
    const PendingJob* holder = reservation_holder(snapshot);
    if (!holder) return {};
    const auto& spec = *holder->spec;
    // A gang that must run in one zone cannot use machines of several zones.
    const auto gang_zone = spec.same_zone ? zone_with_most_capacity(snapshot, *holder) : std::string();
    Reservation reservation{spec.id, {}};
    auto missing = static_cast<int>(holder->pending_tasks.size());
    for (const auto& machine : snapshot.machines) {
        if (missing <= 0) break;
        if (!has_capacity_for(*holder, machine) || (spec.same_zone && machine.zone != gang_zone)) continue;
        reservation.machines.insert(machine.id);
        missing -= task_capacity(spec, machine.free);
    }
    return reservation;
}

int headroom_task_count(const Snapshot& snapshot, const ClassDemand& demand) {
    if (!demand.start_within_s) return 0;
    double boot_s = 0;
    for (const auto& pool : snapshot.pools)
        if (can_run_on(demand.sample_job, pool)) boot_s = std::max(boot_s, pool.type->boot_s);
    const double tasks = snapshot.tuning->headroom_factor * demand.arrivals_per_s *
                         std::max(0.0, boot_s - *demand.start_within_s);
    return static_cast<int>(std::lround(std::min(tasks, constants::max_headroom_tasks)));
}

std::map<std::string, int> constrained_class_reservations(const Snapshot& snapshot) {
    std::map<std::string, int> reserved;
    if (snapshot.demand.empty()) return reserved;
    std::map<std::string_view, double> pending_tasks_by_class;
    for (const auto& job : snapshot.jobs)
        pending_tasks_by_class[job.spec->job_class] += static_cast<double>(job.pending_tasks.size());
    const auto pool_by_machine = pool_indices(snapshot);
    for (const auto& [job_class, demand] : snapshot.demand) {
        double missing = headroom_task_count(snapshot, demand);
        if (const auto found = pending_tasks_by_class.find(job_class); found != pending_tasks_by_class.end())
            missing += found->second;
        if (missing <= 0) continue;
        const auto pools = eligible_pools(snapshot, demand.sample_job);
        for (const auto& [machine, pool] : usable_machines(snapshot, job_class, pools, pool_by_machine)) {
            if (missing <= 0) break;
            missing -= std::max(1, task_capacity(demand.sample_job, snapshot.pools[pool].type->capacity));
            auto [entry, added] = reserved.try_emplace(machine->id, pools.count);
            entry->second = std::min(entry->second, pools.count);
        }
    }
    return reserved;
}

}  // namespace pineroad::scheduling
