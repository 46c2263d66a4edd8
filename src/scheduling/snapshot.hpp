// The scheduling snapshot: what the leader knows of jobs, machines, teams and demand at one instant.
//
// The scheduler is a set of pure functions of a snapshot, without I/O and without a clock: time enters as
// ages and durations. Amounts of CPUs, GPUs and memory are those of model::Resources; durations are seconds;
// prices are the cloud's, per machine and hour.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "model/category_averages.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace pineroad::scheduling {

// A machine that tasks may be placed on, now (`ready`) or once it has booted (`booting`).
struct MachineSnapshot {
    // Its name, its machine type and its zone.
    std::string id, type, zone;
    bool spot = false;                // a spot instance: the cloud may take it back
    bool ready = false;               // sends heartbeats in this term; not drained, quarantined or going away
    bool booting = false;             // requested and expected to come up: capacity to come, gets no tasks
    model::Resources free;            // capacity less what its tasks use
    std::vector<std::string> images;  // cached, or being fetched
    double idle_s = 0;                // since its last task; 0 while busy
    double running_tasks = 0;         // number of tasks on it
    std::set<std::string> job_classes;  // job classes of those tasks
    bool busy = false;                  // has tasks
};

// A job with tasks that wait for a machine.
struct PendingJob {
    const model::JobSpec* spec = nullptr;                // never null; outlives the snapshot
    model::Priority priority = model::Priority::low;     // its own, or a higher one of a job after it
    std::vector<std::uint32_t> pending_tasks;            // tasks free to be placed, ascending
    std::map<std::string, std::uint32_t> tasks_by_zone;  // its placed tasks by zone, unknown tasks included
    double xfactor = 1;                                  // see xfactor.hpp
    double waited_s = 0;  // since it was accepted, or since it last ran: decides who gets a reservation
    // Run time of a task: the user's estimate, corrected by what tasks of its class were seen to take.
    double expected_s = 1;
    double slack_s = 0;  // how long its start may still take without missing a service-level objective
    std::set<std::string> excluded_machines;  // on which it failed, or which its gang has just left
    bool in_pipeline = false;                 // one task lost with its machine is late for all jobs after it
    std::uint32_t max_placements = UINT32_MAX;  // tasks that may be placed now (value size of its record)
};

// A gang that has its machines: a possible victim of preemption.
struct RunningGang {
    const model::JobSpec* spec = nullptr;             // never null; outlives the snapshot
    model::Priority priority = model::Priority::low;  // its own, or a higher one of a job after it
    double xfactor = 1;                               // as of its start: constant while it runs
    std::vector<std::string> machines;                // one entry for each task
    bool stoppable = false;                           // all tasks run, and none is being stopped already
};

// Machines that could be requested from the cloud: one type in one zone, on demand or spot.
struct MachinePool {
    const model::MachineType* type = nullptr;  // never null; outlives the snapshot
    std::string zone;
    bool spot = false;
    bool lacks_capacity = false;  // the cloud had none of these a moment ago
    // Price of one machine of the pool.
    [[nodiscard]] double price() const { return spot ? type->spot_price : type->price; }
};

// What the placed tasks of one team use, against its quota.
struct TeamUsage {
    double cpus = 0, gpus = 0;
};

// What users have lately been asking for, by job class.
struct ClassDemand {
    model::JobSpec sample;                 // a recent job of the class
    double arrivals_per_s = 0;             // jobs accepted a second
    std::optional<double> start_within_s;  // tightest objective for the start of its tasks
    double running_tasks = 0;              // its tasks on machines now
};

// Everything that one scheduling round decides from.
struct Snapshot {
    std::vector<MachineSnapshot> machines;
    std::vector<PendingJob> jobs;
    std::vector<RunningGang> running_gangs;
    std::vector<MachinePool> pools;
    std::map<std::string, TeamUsage> usage;      // by team
    std::map<std::string, ClassDemand> demand;   // by job class
    model::CategoryAverages category_averages;   // by category (xfactor.hpp)
    const config::Settings* settings = nullptr;  // never null; outlives the snapshot
    const config::Tuning* tuning = nullptr;      // never null; outlives the snapshot
};

}  // namespace pineroad::scheduling
