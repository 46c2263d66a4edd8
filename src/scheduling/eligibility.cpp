#include "scheduling/eligibility.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>

namespace pineroad::scheduling {

using model::amount_tolerance;

bool allowed_on(const model::JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
    return spec.allows_type(type) && (!spec.zone || *spec.zone == zone) && (!spot || spec.allows_spot);
}

bool allowed_on(const model::JobSpec& spec, const MachinePool& pool) {
    return allowed_on(spec, pool.type->name, pool.zone, pool.spot);
}

bool allowed_on(const model::JobSpec& spec, const MachineSnapshot& machine) {
    return allowed_on(spec, machine.type, machine.zone, machine.spot);
}

bool can_run_on(const model::JobSpec& spec, const MachinePool& pool) {
    return allowed_on(spec, pool) && spec.task_resources.fits_in(pool.type->capacity);
}

std::uint32_t max_tasks_per_zone(const model::JobSpec& spec) {
    return spec.spread ? (spec.task_count + 1) / 2 : spec.task_count;
}

bool zone_allowed(const PendingJob& job, const std::string& zone) {
    if (job.spec->same_zone)
        for (const auto& [used_zone, tasks] : job.tasks_by_zone)
            if (tasks > 0 && used_zone != zone) return false;
    if (job.spec->spread) {
        const auto found = job.tasks_by_zone.find(zone);
        const std::uint32_t tasks = found == job.tasks_by_zone.end() ? 0 : found->second;
        if (tasks + 1 > max_tasks_per_zone(*job.spec)) return false;
    }
    return true;
}

bool within_team_quota(const Snapshot& snapshot, const model::JobSpec& spec, double task_count) {
    const auto* team = snapshot.settings->find_team(spec.team);
    if (!team) return false;
    const auto found = snapshot.usage.find(spec.team);
    const TeamUsage usage = found == snapshot.usage.end() ? TeamUsage{} : found->second;
    const auto& task = spec.task_resources;
    return (team->cpus_max <= 0 ||
            usage.cpus + task_count * task.cpus <= team->cpus_max + amount_tolerance) &&
           (team->gpus_max <= 0 || usage.gpus + task_count * task.gpus <= team->gpus_max + amount_tolerance);
}

int task_capacity(const model::JobSpec& spec, const model::Resources& resources) {
    double tasks = 1e6;
    const auto limit = [&tasks](double needed, double available) {
        if (needed > 0) tasks = std::min(tasks, std::floor((available + amount_tolerance) / needed));
    };
    limit(spec.task_resources.cpus, resources.cpus);
    limit(spec.task_resources.gpus, resources.gpus);
    limit(spec.task_resources.memory_gb, resources.memory_gb);
    return static_cast<int>(std::max(tasks, 0.0));
}

double price_ratio(const Snapshot& snapshot, const model::JobSpec& spec, const std::string& type, bool spot) {
    double cheapest = 0, own = 0;
    for (const auto& pool : snapshot.pools) {
        const int tasks = task_capacity(spec, pool.type->capacity);
        if (tasks < 1 || !allowed_on(spec, pool)) continue;
        const double price = pool.price() / tasks;
        if (cheapest <= 0 || price < cheapest) cheapest = price;
        if (pool.type->name == type && pool.spot == spot) own = price;
    }
    return cheapest > 0 && own > 0 ? std::max(1.0, own / cheapest) : 1.0;
}

std::vector<std::size_t> pool_indices(const Snapshot& snapshot) {
    std::map<std::tuple<std::string_view, std::string_view, bool>, std::size_t> index;
    for (std::size_t i = 0; i < snapshot.pools.size(); ++i) {
        const auto& pool = snapshot.pools[i];
        index[{pool.type->name, pool.zone, pool.spot}] = i;
    }
    std::vector<std::size_t> pools;
    pools.reserve(snapshot.machines.size());
    for (const auto& machine : snapshot.machines) {
        const auto found = index.find({machine.type, machine.zone, machine.spot});
        pools.push_back(found == index.end() ? snapshot.pools.size() : found->second);
    }
    return pools;
}

int eligible_pool_count(const Snapshot& snapshot, const model::JobSpec& spec) {
    int count = 0;
    for (const auto& pool : snapshot.pools) count += can_run_on(spec, pool);
    return count;
}

}  // namespace pineroad::scheduling
