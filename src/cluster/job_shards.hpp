// Shards of a job: which tasks belong to which shard, what a shard's entry says, and what of it is durable.
#pragma once

#include <cstdint>
#include <set>

#include "cluster/job.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Some of a job's placements, in the order of their tasks.
struct PlacementRange {
    Placements::const_iterator first, last;
    // The first placement.
    [[nodiscard]] Placements::const_iterator begin() const { return first; }
    // Past the last placement.
    [[nodiscard]] Placements::const_iterator end() const { return last; }
};

// The shard that holds the task; 0 while the job is not sharded.
[[nodiscard]] std::uint32_t shard_of(const Job& job, std::uint32_t task);
// The placements whose tasks belong to the shard.
[[nodiscard]] PlacementRange placements_in_shard(const Job& job, std::uint32_t shard);
// Shards beside the first whose entries say something: a task of theirs is done or placed. By task numbers,
// whether or not the job is sharded yet.
[[nodiscard]] std::set<std::uint32_t> shards_beyond_first(const Job& job);
// The entry of the shard.
[[nodiscard]] model::Progress progress_of_shard(const Job& job, std::uint32_t shard);

// The version of the latest change in the task's shard.
[[nodiscard]] std::uint64_t version_of_task(const Job& job, std::uint32_t task);
// The latest version of the task's shard that is durable.
[[nodiscard]] std::uint64_t durable_version_of_task(const Job& job, std::uint32_t task);
// Whether the placement is durable: only then may its start be sent.
[[nodiscard]] bool is_durable(const Job& job, const TaskPlacement& placement);

}  // namespace pineroad::cluster
