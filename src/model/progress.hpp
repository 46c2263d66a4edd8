// Durable records of the progress and the final state of a job.
#pragma once

#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace pineroad::model {

// A set of task indexes of one job, stored as intervals.
using TaskSet = boost::icl::interval_set<std::uint32_t>;

// Assignment of one task to a machine, as one attempt.
struct Placement {
    std::uint32_t index = 0;    // index of the task in its job
    std::uint64_t attempt = 0;  // distinguishes starts of the same task; equal for all tasks of a gang
    std::string machine;
};

// The progress record of a live job, or of one shard of it.
struct Progress {
    TaskSet done;                       // completed tasks
    std::vector<Placement> placements;  // tasks that are assigned to a machine
    std::uint64_t next_attempt = 1;     // greater than every attempt number of the job
    // Run time saved in checkpoints by stopped tasks; all other time counts as waiting.
    double checkpointed_run_s = 0;
    Resources task_resources;       // repeated here because a cancelled job has no other record
    std::string team;               // repeated for the same reason
    bool covers_one_shard = false;  // whether this is the record of one shard, not of the whole job
    // Returns the number of completed tasks.
    [[nodiscard]] std::uint32_t done_count() const { return static_cast<std::uint32_t>(done.size()); }
};

// Final status of a job.
enum class FinalStatus { done, cancelled };

// Final status of a job, and when it finished.
struct JobOutcome {
    FinalStatus status = FinalStatus::done;
    std::int64_t finished_at_ms = 0;  // Unix time in milliseconds; 0: an older record without this time
    bool operator==(const JobOutcome&) const = default;
};

}  // namespace pineroad::model
