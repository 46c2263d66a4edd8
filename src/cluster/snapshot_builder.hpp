// Builds the scheduler's snapshot from the cluster state.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/run_time_estimates.hpp"
#include "cluster/slowdown_averages.hpp"
#include "cluster/term_context.hpp"
#include "scheduling/snapshot.hpp"

namespace pineroad::cluster {

// Demand by job class.
using DemandByClass = std::map<std::string, scheduling::ClassDemand>;

// Reads the cluster state at the context's time without changing it.
class SnapshotBuilder {
   public:
    // All arguments must outlive this object.
    SnapshotBuilder(const TermContext& context, const JobTable& jobs, const MachineTable& machines,
                    const ProvisioningRequests& provisioning, const RunTimeEstimates& estimates,
                    const SlowdownAverages& averages)
        : context_(context),
          jobs_(jobs),
          machines_(machines),
          provisioning_(provisioning),
          estimates_(estimates),
          averages_(averages) {}

    // Returns a snapshot of all pending jobs, running gangs and machines. It holds references into the job
    // table.
    [[nodiscard]] scheduling::Snapshot build(const DemandByClass& demand) const;

   private:
    // Adds the machine pools and marks those that lack capacity.
    void add_pools(scheduling::Snapshot& snapshot) const;
    // Adds the resources of the job's placements to its team's quota usage.
    void add_quota_usage(scheduling::Snapshot& snapshot, const Job& job) const;
    // Adds the job, which must be allowed to run, to the pending jobs, the running gangs, or both.
    void add_job(scheduling::Snapshot& snapshot, const Job& job,
                 const std::set<model::TaskId>& unknown_tasks) const;
    // Returns the tasks that run on a machine without a placement. They must not be placed again yet.
    [[nodiscard]] std::set<model::TaskId> unknown_tasks() const;
    // Returns the job for the scheduler, without pending tasks if none may be placed now.
    [[nodiscard]] scheduling::PendingJob pending_job(const Job& job,
                                                     const std::set<model::TaskId>& unknown_tasks) const;
    // Adds the tasks that may be placed and the machines to avoid.
    void add_pending_tasks(scheduling::PendingJob& pending, const Job& job,
                           const std::set<model::TaskId>& unknown_tasks) const;
    // Adds the task count per zone, for a job with zone constraints. Clears the pending tasks if a zone is
    // unknown.
    void add_zones(scheduling::PendingJob& pending, const Job& job) const;
    // Returns the running gang of a job with placements.
    [[nodiscard]] scheduling::RunningGang running_gang(const Job& job) const;
    // Returns the machine with its free capacity.
    [[nodiscard]] scheduling::MachineSnapshot machine_snapshot(const Machine& machine,
                                                               const model::MachineType& type) const;
    // Returns the time since the job was first ready to start, in seconds.
    [[nodiscard]] double age_s(const Job& job) const;
    // Returns for how many seconds the start can still be delayed without missing a service-level objective
    // or the deadline.
    [[nodiscard]] double slack_s(const Job& job) const;
    // Returns how many more placements an entry of the whole job can hold.
    [[nodiscard]] std::uint32_t free_entry_capacity(const Job& job) const;

    const TermContext& context_;
    const JobTable& jobs_;
    const MachineTable& machines_;
    const ProvisioningRequests& provisioning_;
    const RunTimeEstimates& estimates_;
    const SlowdownAverages& averages_;
};

}  // namespace pineroad::cluster
