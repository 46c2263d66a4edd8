#include "cluster/job_shards.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;

namespace {
// Returns the done tasks in the range [first, end).
model::TaskSet done_between(const model::TaskSet& done, std::uint32_t first, std::uint32_t end) {
    using Interval = boost::icl::discrete_interval<std::uint32_t>;
    model::TaskSet part;
    for (auto interval = done.lower_bound(Interval::right_open(first, end));
         interval != done.end() && boost::icl::first(*interval) < end; ++interval)
        part += Interval::closed(std::max(boost::icl::first(*interval), first),
                                 std::min(boost::icl::last(*interval), end - 1));
    return part;
}
}  // namespace

std::uint32_t shard_of(const Job& job, std::uint32_t task) {
    return job.sharded ? task / c::tasks_per_shard : 0;
}

PlacementRange placements_in_shard(const Job& job, std::uint32_t shard) {
    if (!job.sharded) return {job.placements.begin(), job.placements.end()};
    const auto first = shard * c::tasks_per_shard;
    return {job.placements.lower_bound(first), job.placements.lower_bound(first + c::tasks_per_shard)};
}

std::set<std::uint32_t> shards_beyond_first(const Job& job) {
    std::set<std::uint32_t> shards;
    for (const auto& [task, placement] : job.placements) shards.insert(task / c::tasks_per_shard);
    for (const auto& done : job.progress.done) {
        const auto last = boost::icl::last(done) / c::tasks_per_shard;
        for (auto shard = boost::icl::first(done) / c::tasks_per_shard; shard <= last; ++shard)
            shards.insert(shard);
    }
    shards.erase(0);
    return shards;
}

model::Progress progress_of_shard(const Job& job, std::uint32_t shard) {
    model::Progress progress = job.progress;
    if (job.sharded) {
        const auto first = shard * c::tasks_per_shard;
        progress.covers_one_shard = true;
        progress.done = done_between(job.progress.done, first, first + c::tasks_per_shard);
    }
    for (const auto& [task, placement] : placements_in_shard(job, shard))
        progress.placements.push_back({task, placement.attempt, placement.machine});
    return progress;
}

std::uint64_t version_of_task(const Job& job, std::uint32_t task) {
    const auto shard = job.shards.find(shard_of(job, task));
    return shard == job.shards.end() ? 0 : shard->second.version;
}

std::uint64_t durable_version_of_task(const Job& job, std::uint32_t task) {
    const auto shard = job.shards.find(shard_of(job, task));
    return shard == job.shards.end() ? 0 : shard->second.durable_version;
}

bool is_durable(const Job& job, const TaskPlacement& placement) {
    return placement.version <= durable_version_of_task(job, placement.index);
}

}  // namespace pineroad::cluster
