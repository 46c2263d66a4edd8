// Jobs as users submit them. A job consists of identical tasks, numbered from 0.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace pineroad::model {

// How the tasks of a job are scheduled together.
enum class Shape {
    array,   // a job array: independent tasks that run to completion
    gang,    // all tasks run at the same time or none does
    service  // an array whose tasks run until the user cancels the job
};

// Priorities in descending order: a job with a smaller value may preempt one with a larger value.
enum class Priority { production = 0, high = 1, normal = 2, low = 3 };

// Specification of a job as submitted by a user; it never changes after acceptance.
struct JobSpec {
    // Unique id, chosen by the user; job class, to which objectives apply; team, to which guarantee and quota
    // apply; name of the image.
    std::string id, job_class, team, image;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t task_count = 1;
    Resources task_resources;                                       // of each task
    double image_gb = 0;                                            // size of the image
    std::optional<std::vector<std::string>> allowed_machine_types;  // not set: any
    std::optional<std::string> zone;                                // the only zone allowed; not set: any
    bool same_zone = false;                                         // all tasks must be in the same zone
    bool spread = false;               // at most half of the tasks, rounded up, may be in one zone
    bool allows_spot = false;          // may use spot machines
    double estimate_s = 0;             // the user's estimate of a task's run time, without fetching the image
    double checkpoint_interval_s = 0;  // progress between checkpoints; 0: the job saves none
    double checkpoint_save_s = 0;      // time that a stopped task needs to save a checkpoint
    std::optional<double> deadline_s;  // time from acceptance until the job should be done
    std::int64_t accepted_ms = 0;      // time of acceptance, Unix time in milliseconds
    // Jobs that must be done before any task of this one starts, without duplicates.
    std::vector<std::string> dependencies;
    // Number of additional stored records that hold the end of this list.
    std::uint32_t dependency_records = 0;

    // Returns whether the job may use machines of this type.
    [[nodiscard]] bool allows_type(const std::string& type) const {
        return !allowed_machine_types ||
               std::find(allowed_machine_types->begin(), allowed_machine_types->end(), type) !=
                   allowed_machine_types->end();
    }
};

// One task of a job.
struct TaskId {
    std::string job;
    std::uint32_t index = 0;  // from 0
    auto operator<=>(const TaskId&) const = default;
};

}  // namespace pineroad::model
