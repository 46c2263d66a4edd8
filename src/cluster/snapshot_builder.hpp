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

// Demand by class of jobs.
using DemandByClass = std::map<std::string, scheduling::ClassDemand>;

// Reads the cluster state at the time of the context, and changes nothing.
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

    // The snapshot of all pending jobs, running gangs and machines. It refers to the job table.
    [[nodiscard]] scheduling::Snapshot build(const DemandByClass& demand) const;

   private:
    // Machine pools, and which of them lack capacity.
    void add_pools(scheduling::Snapshot& snapshot) const;
    // What the job's placements take of its team's quota.
    void add_quota_usage(scheduling::Snapshot& snapshot, const Job& job) const;
    // A job that may run: as pending, running, or both.
    void add_job(scheduling::Snapshot& snapshot, const Job& job,
                 const std::set<model::TaskId>& unknown_tasks) const;
    // Tasks that run somewhere without a placement: they must not be placed again yet.
    [[nodiscard]] std::set<model::TaskId> unknown_tasks() const;
    // The job as the scheduler sees it; without pending tasks if none may be placed now.
    [[nodiscard]] scheduling::PendingJob pending_job(const Job& job,
                                                     const std::set<model::TaskId>& unknown_tasks) const;
    // The tasks that may be placed, and machines to be avoided.
    void add_pending_tasks(scheduling::PendingJob& pending, const Job& job,
                           const std::set<model::TaskId>& unknown_tasks) const;
    // Tasks by zone, for a job that is bound to zones.
    void add_zones(scheduling::PendingJob& pending, const Job& job) const;
    // A gang with placements.
    [[nodiscard]] scheduling::RunningGang running_gang(const Job& job) const;
    // A machine with its free capacity.
    [[nodiscard]] scheduling::MachineSnapshot machine_snapshot(const Machine& machine,
                                                               const model::MachineType& type) const;
    // Time since the job could have been started first.
    [[nodiscard]] double age_s(const Job& job) const;
    // How long the start may still wait without missing an objective or the deadline.
    [[nodiscard]] double slack_s(const Job& job) const;
    // How many more tasks an entry of the whole job can name.
    [[nodiscard]] std::uint32_t free_entry_capacity(const Job& job) const;

    const TermContext& context_;
    const JobTable& jobs_;
    const MachineTable& machines_;
    const ProvisioningRequests& provisioning_;
    const RunTimeEstimates& estimates_;
    const SlowdownAverages& averages_;
};

}  // namespace pineroad::cluster
