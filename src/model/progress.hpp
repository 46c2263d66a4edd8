// What is durably known of a job's progress and of its end.
#pragma once

#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace pineroad::model {

// A set of task numbers of one job, kept as intervals.
using TaskSet = boost::icl::interval_set<std::uint32_t>;

// One task given to one machine under one attempt number.
struct Placement {
    std::uint32_t index = 0;    // of the task in its job
    std::uint64_t attempt = 0;  // tells one start of the task from another; the same for all tasks of a gang
    std::string machine;
};

// The progress record of a live job, or of one shard of it.
struct Progress {
    TaskSet done;                       // tasks that completed
    std::vector<Placement> placements;  // tasks that have a machine
    std::uint64_t next_attempt = 1;     // no attempt of the job has this number or a greater one
    double checkpointed_run_s = 0;      // run time kept by orderly stops; everything else counts as wait
    Resources task_resources;           // repeated here: a cancelled job has no other record left
    std::string team;                   // as the resources
    bool is_shard = false;              // speaks of the tasks of one shard of the job only
    // Number of tasks that completed.
    [[nodiscard]] std::uint32_t done_count() const { return static_cast<std::uint32_t>(done.size()); }
};

// How a job ended.
enum class FinalStatus { done, cancelled };

// How a job ended, and when.
struct JobOutcome {
    FinalStatus status = FinalStatus::done;
    std::int64_t ended_at_ms = 0;  // time of day, Unix time; 0: a record from before this was kept
    bool operator==(const JobOutcome&) const = default;
};

}  // namespace pineroad::model
