// The scheduling snapshot: the leader's view of jobs, machines, teams and demand at one point in time.
//
// The scheduler consists of pure functions of a snapshot, without I/O or a clock: times are given as ages and
// durations, in seconds. Prices are per machine and hour.
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
#include "scheduling/feasibility.hpp"

namespace pineroad::scheduling {

// A machine on which tasks can be placed, now (`ready`) or once it has booted (`booting`).
struct MachineSnapshot {
    // Machine name, machine type, zone.
    std::string id, type, zone;
    bool spot = false;      // a spot instance: the cloud may reclaim it
    bool ready = false;     // in contact in this term; not quarantined, being released or to be interrupted
    bool booting = false;   // requested but not up yet: future capacity, gets no tasks
    model::Resources free;  // capacity minus the resources that its tasks use
    std::vector<std::string> images;    // cached or being fetched
    double idle_s = 0;                  // time since its last task; 0 while busy
    double running_tasks = 0;           // number of tasks on it
    std::set<std::string> job_classes;  // job classes of those tasks
    bool busy = false;                  // has tasks
};

// A job with pending tasks.
struct PendingJob {
    const model::JobSpec* spec = nullptr;             // never null; outlives the snapshot
    model::Priority priority = model::Priority::low;  // its own, or a higher one inherited from a dependent
    std::vector<std::uint32_t> pending_tasks;         // indexes of the tasks that can be placed, ascending
    std::map<std::string, std::uint32_t> tasks_by_zone;  // placed tasks by zone, for `same_zone` and `spread`
    double xfactor = 1;                                  // see xfactor.hpp
    // Time since it could first start or, for a gang, since it last ran; determines which gang gets a
    // reservation.
    double waited_s = 0;
    // Expected run time of a task: the user's estimate, corrected by the actual run times of its class.
    double expected_run_s = 1;
    // Time until it must start to meet its service-level objectives and deadlines.
    double slack_s = 0;
    std::set<std::string> excluded_machines;    // machines on which it failed or which its gang has just left
    bool in_pipeline = false;                   // a lost task delays all dependent jobs
    std::uint32_t max_placements = UINT32_MAX;  // tasks that may be placed now, limited by the record size
};

// A gang that occupies machines: a possible victim of preemption.
struct RunningGang {
    const model::JobSpec* spec = nullptr;             // never null; outlives the snapshot
    model::Priority priority = model::Priority::low;  // its own, or a higher one inherited from a dependent
    double xfactor = 1;                               // as of its start; constant while it runs
    std::vector<std::string> machines;                // one entry per task
    bool stoppable = false;                           // all tasks run, and none is being stopped
};

// Machines that can be requested from the cloud: one type in one zone, on demand or spot.
struct MachinePool {
    const model::MachineType* type = nullptr;  // never null; outlives the snapshot
    std::string zone;
    bool spot = false;
    bool lacks_capacity = false;  // the cloud recently had no capacity for this pool
    // Returns the price of one machine of the pool.
    [[nodiscard]] double price() const { return spot ? type->spot_price : type->price; }
};

// Resources used by the placed tasks of one team, which count against its quota.
struct TeamUsage {
    double cpus = 0, gpus = 0;
};

// A job with pending tasks that is left out of the pending jobs, because it can never run on what the
// deployment offers now.
struct InfeasibleJob {
    std::string id;
    Infeasibility reason = Infeasibility::no_machine_type;
};

// Recent demand for one job class.
struct ClassDemand {
    model::JobSpec sample_job;             // a recent job of the class
    double arrivals_per_s = 0;             // arrival rate of jobs
    std::optional<double> start_within_s;  // strictest objective for the start of its tasks
    double running_tasks = 0;              // its tasks that are on machines now
};

// The complete input of one scheduling round.
struct Snapshot {
    std::vector<MachineSnapshot> machines;
    std::vector<PendingJob> jobs;
    std::vector<InfeasibleJob> infeasible_jobs;
    std::vector<RunningGang> running_gangs;
    std::vector<MachinePool> pools;
    std::map<std::string, TeamUsage> usage;      // by team
    std::map<std::string, ClassDemand> demand;   // by job class
    model::CategoryAverages category_averages;   // by category (xfactor.hpp)
    const config::Settings* settings = nullptr;  // never null; outlives the snapshot
    const config::Tuning* tuning = nullptr;      // never null; outlives the snapshot
};

}  // namespace pineroad::scheduling
