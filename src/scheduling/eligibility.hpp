// Where a task may run: predicates on jobs, machines, pools and teams, shared by all parts of the scheduler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Returns whether the constraints of the job allow machines of this type, zone and kind (spot or on demand).
// Ignores their resources.
bool allowed_on(const model::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);
// Returns the same for the machines of a pool.
bool allowed_on(const model::JobSpec& spec, const MachinePool& pool);
// Returns the same for one machine.
bool allowed_on(const model::JobSpec& spec, const MachineSnapshot& machine);

// Returns whether a task of the job can run on an empty machine of the pool.
bool can_run_on(const model::JobSpec& spec, const MachinePool& pool);

// Returns how many tasks of the job may be in one zone at the same time: half of them, rounded up, if the job
// must be spread, otherwise all.
std::uint32_t max_tasks_per_zone(const model::JobSpec& spec);

// Returns whether one more task in the zone satisfies the job's zone constraints: all tasks in one zone
// (`same_zone`), or at most half of the tasks, rounded up, in one zone (`spread`).
bool zone_allowed(const PendingJob& job, const std::string& zone);

// Returns whether the quota of the job's team allows this many more tasks of the job. False if the team is
// not configured.
bool within_team_quota(const Snapshot& snapshot, const model::JobSpec& spec, double task_count);

// Returns how many tasks of the job fit into `resources`; one million if its tasks need no resources.
int task_capacity(const model::JobSpec& spec, const model::Resources& resources);

// Returns the price per task of the job on a machine of this type and kind, divided by that in the cheapest
// pool that the job may use. At least 1; 1 if a price is unknown.
double price_ratio(const Snapshot& snapshot, const model::JobSpec& spec, const std::string& type, bool spot);

// Returns for every machine the index of its pool in `pools`, or `pools.size()` if its pool is unknown.
std::vector<std::size_t> pool_indices(const Snapshot& snapshot);

// Returns the number of pools (type, zone and kind) that can run a task of the job.
int eligible_pool_count(const Snapshot& snapshot, const model::JobSpec& spec);

}  // namespace pineroad::scheduling
