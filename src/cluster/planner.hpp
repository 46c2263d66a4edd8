// Applies the scheduler's decisions: placements, preemption, scale-out and scale-in.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "cluster/failure_detector.hpp"
#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/pending_changes.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/snapshot_builder.hpp"
#include "cluster/stop_requests.hpp"
#include "cluster/task_lifecycle.hpp"
#include "cluster/term_context.hpp"
#include "model/model.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/snapshot.hpp"

namespace pineroad::cluster {

// The parts of the cluster state that the planner reads and changes.
struct PlannerDependencies {
    JobTable& jobs;
    MachineTable& machines;
    TaskLifecycle& task_lifecycle;
    StopRequests& stop_requests;
    PendingChanges& pending_changes;
    ProvisioningRequests& provisioning;
    const FailureDetector& failure_detector;
};

// Plans at the context's time. Owns the times of the latest preemption and autoscaling rounds.
class Planner {
   public:
    // All arguments, and the objects that `dependencies` refers to, must outlive this object.
    Planner(const TermContext& context, const PlannerDependencies& dependencies,
            const SnapshotBuilder& snapshot_builder)
        : context_(context),
          dependencies_(dependencies),
          snapshot_builder_(snapshot_builder),
          last_preemption_s_(context.started_at_s) {}

    // Runs one round: places tasks and, when each is due, preempts a gang and scales the cluster.
    void plan(const DemandByClass& demand);
    // Makes the next round run autoscaling even if it is not due.
    void autoscale_at_next_plan() { last_autoscaling_s_ = 0; }
    // Returns whether the machine could run the smallest recently submitted task. If so, the response to its
    // heartbeat may be held briefly for a placement.
    [[nodiscard]] bool has_free_capacity(const std::string& machine, double now) const;

   private:
    // Logs each accepted job that can never run once, for as long as this is so.
    void report_infeasible_jobs(const scheduling::Snapshot& snapshot);
    // Updates the smallest task request, by CPUs, among the recently submitted job classes.
    void update_smallest_request(const DemandByClass& demand);
    // Places pending tasks and updates the free capacity and usage in the snapshot.
    void place_tasks(scheduling::Snapshot& snapshot);
    // Applies one placement. `xfactor` is the job's expansion factor at the time of the decision.
    void place_task(const scheduling::PlacementDecision& decision, double xfactor);
    // Stops the victims of at most one pending job, once per preemption period of the tuning.
    void preempt(const scheduling::Snapshot& snapshot);
    // Requests machines and releases idle ones.
    void autoscale(scheduling::Snapshot snapshot);
    // Adds the machines of open provisioning requests to the snapshot.
    void add_requested_machines(scheduling::Snapshot& snapshot) const;
    // Releases an idle machine unless it is still within its minimum charge period.
    void scale_in(const std::string& machine);

    const TermContext& context_;
    PlannerDependencies dependencies_;
    const SnapshotBuilder& snapshot_builder_;
    std::set<std::string> infeasible_jobs_;                    // of the latest round, by id
    std::optional<model::Resources> smallest_recent_request_;  // by CPUs, of recent job classes
    double last_preemption_s_;
    double last_autoscaling_s_ = 0;
};

}  // namespace pineroad::cluster
