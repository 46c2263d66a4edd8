// Where a task may run: predicates over job, machine, pool and team that all parts of the scheduler share.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Whether the job accepts machines of this type, zone and kind (spot or on demand). Says nothing of room.
bool allowed_on(const model::JobSpec& spec, const std::string& type, const std::string& zone, bool spot);
// The same for the machines of a pool.
bool allowed_on(const model::JobSpec& spec, const MachinePool& pool);
// The same for one machine.
bool allowed_on(const model::JobSpec& spec, const MachineSnapshot& machine);

// Whether an empty machine of the pool is accepted by the job and holds one of its tasks.
bool can_run_on(const model::JobSpec& spec, const MachinePool& pool);

// Whether one more task in the zone keeps the job's wish for one zone (`same_zone`) or for at most half of
// its tasks in one zone (`spread`).
bool zone_allowed(const PendingJob& job, const std::string& zone);

// Whether the limit of the job's team leaves room for so many more tasks of the job. False for a team that
// the settings don't name.
bool within_team_quota(const Snapshot& snapshot, const model::JobSpec& spec, double task_count);

// How many tasks of the job fit into the room; a million where the job takes nothing.
int task_capacity(const model::JobSpec& spec, const model::Resources& room);

// What a task of the job costs on a machine of this type and kind, over what it costs in the cheapest pool
// that it may use. At least 1; 1 where no price is known.
double price_ratio(const Snapshot& snapshot, const model::JobSpec& spec, const std::string& type, bool spot);

// The pool of every machine, as an index into `pools`; `pools.size()` for machines of no known pool.
std::vector<std::size_t> pool_indices(const Snapshot& snapshot);

// Number of pools (type, zone, kind) that can run a task of the job.
int eligible_pool_count(const Snapshot& snapshot, const model::JobSpec& spec);

}  // namespace pineroad::scheduling
