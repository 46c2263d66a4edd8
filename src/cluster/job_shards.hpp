// Shards of a job: which tasks belong to a shard, the content of its entry, and which versions are durable.
#pragma once

#include <cstdint>
#include <set>

#include "cluster/job.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// A range of a job's placements, ordered by task index.
struct PlacementRange {
    Placements::const_iterator first, last;
    // Returns the first placement.
    [[nodiscard]] Placements::const_iterator begin() const { return first; }
    // Returns the position after the last placement.
    [[nodiscard]] Placements::const_iterator end() const { return last; }
};

// Returns the shard that holds the task, 0 while the job is not sharded.
[[nodiscard]] std::uint32_t shard_of(const Job& job, std::uint32_t task);
// Returns the placements whose tasks belong to the shard.
[[nodiscard]] PlacementRange placements_in_shard(const Job& job, std::uint32_t shard);
// Returns the shards after the first that have a done or placed task. Computed from task indexes, so it also
// applies to a job that is not sharded yet.
[[nodiscard]] std::set<std::uint32_t> shards_beyond_first(const Job& job);
// Returns the progress to be written in the shard's entry.
[[nodiscard]] model::Progress progress_of_shard(const Job& job, std::uint32_t shard);

// Returns the version of the latest change in the task's shard.
[[nodiscard]] std::uint64_t version_of_task(const Job& job, std::uint32_t task);
// Returns the latest durable version of the task's shard.
[[nodiscard]] std::uint64_t durable_version_of_task(const Job& job, std::uint32_t task);
// Returns whether the placement is durable. Its start may be sent only then.
[[nodiscard]] bool is_durable(const Job& job, const TaskPlacement& placement);

}  // namespace pineroad::cluster
