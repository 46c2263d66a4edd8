// Jobs as users submit them: a job is a number of like tasks, numbered from 0.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace pineroad::model {

// How the tasks of a job belong together.
enum class Shape {
    array,   // a job array: independent tasks, each runs to completion
    gang,    // all tasks run at the same time, or none does
    service  // an array whose tasks are not expected to end: it runs until its user cancels it
};

// Priority in falling order: a job with a smaller value may preempt one with a larger value.
enum class Priority { production = 0, high = 1, normal = 2, low = 3 };

// What a user submitted; it never changes after acceptance.
struct JobSpec {
    // Unique id, chosen by the user; job class, that objectives go by; team, that quotas go by; name of the
    // image.
    std::string id, job_class, team, image;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t task_count = 1;
    Resources task_resources;                                       // of each task
    double image_gb = 0;                                            // size of the image
    std::optional<std::vector<std::string>> allowed_machine_types;  // nothing: any
    std::optional<std::string> zone;                                // the only zone allowed; nothing: any
    bool same_zone = false;                                         // all tasks must be in one zone
    bool spread = false;               // at most half of the tasks, rounded up, may be in one zone
    bool allows_spot = false;          // may use spot machines
    double estimate_s = 0;             // the user's estimate of a task's run time, without the image fetch
    double checkpoint_interval_s = 0;  // progress between checkpoints; 0: the job never saves any
    double checkpoint_save_s = 0;      // time that a stopped task needs to save one
    std::optional<double> deadline_s;  // when the job should be done, counted from its acceptance
    std::int64_t accepted_ms = 0;      // time of day at acceptance, Unix time
    // Jobs that must be done before any task of this one starts; none twice.
    std::vector<std::string> dependencies;
    // Stored records beside the job's own that hold the end of that list.
    std::uint32_t dependency_records = 0;

    // Whether the job accepts machines of this type.
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
