// Plain data: what users want, what workers and the cloud were seen to do. No behaviour beyond small helpers.
#pragma once

#include <boost/icl/interval_set.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pineroad::model {

// A service is an array whose tasks are not expected to end: it runs until its user cancels it.
enum class Shape { array, gang, service };
// In falling order of right of way: a smaller value may stop a larger one.
enum class Priority { production = 0, high = 1, normal = 2, low = 3 };

struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;

    [[nodiscard]] bool fits_in(const Resources& room) const {
        constexpr double slack = 1e-6;  // amounts are decimal numbers; sums of them are not exact
        return cpus <= room.cpus + slack && gpus <= room.gpus + slack && memory_gb <= room.memory_gb + slack;
    }
    Resources& operator+=(const Resources& o) {
        cpus += o.cpus, gpus += o.gpus, memory_gb += o.memory_gb;
        return *this;
    }
    Resources& operator-=(const Resources& o) {
        cpus -= o.cpus, gpus -= o.gpus, memory_gb -= o.memory_gb;
        return *this;
    }
    friend Resources operator*(const Resources& r, double n) {
        return {r.cpus * n, r.gpus * n, r.memory_gb * n};
    }
};

struct JobSpec {
    std::string id, job_class, team, image;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t task_count = 1;
    Resources task_resources;
    double image_gb = 0;
    std::optional<std::vector<std::string>> allowed_machine_types;
    std::optional<std::string> zone;
    bool same_zone = false, spread = false, allows_spot = false;
    double estimate_s = 0, checkpoint_interval_s = 0, checkpoint_save_s = 0;
    std::optional<double> deadline_s;
    std::int64_t accepted_ms = 0;  // time of day at acceptance
    // Jobs that must be done before any task of this one starts; none twice.
    std::vector<std::string> dependencies;
    std::uint32_t dependency_records = 0;  // further records that hold the end of that list

    [[nodiscard]] bool allows_type(const std::string& type) const {
        if (!allowed_machine_types) return true;
        for (const auto& t : *allowed_machine_types)
            if (t == type) return true;
        return false;
    }
};

using TaskSet = boost::icl::interval_set<std::uint32_t>;

// One task given to one machine under one attempt number.
struct Placement {
    std::uint32_t index = 0;
    std::uint64_t attempt = 0;
    std::string machine;
};

// What the state service keeps of a job's progress.
struct Progress {
    TaskSet done;
    std::vector<Placement> placements;
    std::uint64_t next_attempt = 1;
    double checkpointed_run_s = 0;  // run time kept by orderly stops; everything else counts as wait
    Resources task_resources;       // repeated here: a withdrawn job has no other record left
    std::string team;
    bool partial = false;  // speaks of the tasks of its own part of the job only
    [[nodiscard]] std::uint32_t done_count() const { return static_cast<std::uint32_t>(done.size()); }
};

enum class FinalStatus { done, cancelled };

// How a job ended, and when by the time of day (0: before that was recorded).
struct JobOutcome {
    FinalStatus status = FinalStatus::done;
    std::int64_t ended_at_ms = 0;
    bool operator==(const JobOutcome&) const = default;
};

struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
    std::vector<std::string> zones;
};

enum class TaskState { fetching, waiting_for_gang, running, checkpointing, exited };
enum class ExitCause {
    none,
    done,
    stopped,
    gang_member_lost,
    gang_incomplete,
    error,
    insufficient_resources,
    already_running,
    unknown_task
};

struct TaskId {
    std::string job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
};

struct ReportedTask {
    TaskId task;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::running;
    ExitCause cause = ExitCause::none;
    bool saved = false;
};

struct Heartbeat {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0, sequence = 0, fencing_token = 0;
    std::optional<double> interruption_notice_s;
    std::vector<ReportedTask> tasks;
};

struct Command {
    enum class Kind { start, stop, forget } kind = Kind::start;
    TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0;
};

enum class MachineStatus { booting, running, failed };

struct ListedMachine {
    std::string id, address, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    double age_s = 0;
};

// A rental request under a name that is never used twice.
struct ProvisioningRequest {
    std::string name, type, zone;
    bool spot = false;
    std::uint32_t count = 1;
};

// Running mean of slowdown for the design's categories (width x length).
struct CategoryAverage {
    double mean = 0;
    std::uint64_t count = 0;
};
using CategoryAverages = std::map<std::string, CategoryAverage>;

}  // namespace pineroad::model
