// Applies the scheduler's decisions: placements, preemption, scale out and in.
#pragma once

#include <optional>
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

// The parts of the cluster state that a plan changes.
struct PlannerDependencies {
    JobTable& jobs;
    MachineTable& machines;
    TaskLifecycle& task_lifecycle;
    StopRequests& stop_requests;
    PendingChanges& pending_changes;
    ProvisioningRequests& provisioning;
    const FailureDetector& failure_detector;
};

// Plans at the time of the context, and owns the times of the latest preemption and autoscaling rounds.
class Planner {
   public:
    // Everything given must outlive this object.
    Planner(const TermContext& context, const PlannerDependencies& state,
            const SnapshotBuilder& snapshot_builder)
        : context_(context),
          state_(state),
          snapshot_builder_(snapshot_builder),
          last_preemption_s_(context.started_at_s) {}

    // One round: places tasks, and as often as each is due, preempts a gang and scales.
    void plan(const DemandByClass& demand);
    // The next round scales in any case.
    void autoscale_at_next_plan() { last_autoscaling_s_ = 0; }
    // Whether the machine could take the smallest task of the classes that came lately: the answer to its
    // heartbeat may wait a little for one.
    [[nodiscard]] bool has_free_capacity(const std::string& machine, double now) const;

   private:
    // The smallest task of the classes that came lately, by CPUs.
    void update_smallest_request(const DemandByClass& demand);
    // Places pending tasks; updates free capacity and usage in the snapshot.
    void place_tasks(scheduling::Snapshot& snapshot);
    // Applies one placement. The xfactor is that of the job as it waited.
    void place_task(const scheduling::PlacementDecision& decision, double xfactor);
    // Stops the victims of at most one waiting job, as often as the tuning says.
    void preempt(const scheduling::Snapshot& snapshot);
    // Requests machines and releases idle ones.
    void autoscale(scheduling::Snapshot snapshot);
    // Adds the machines of open provisioning requests to the snapshot.
    void add_requested_machines(scheduling::Snapshot& snapshot) const;
    // Releases an idle machine once it is not cheaper to keep it.
    void scale_in(const std::string& machine);

    const TermContext& context_;
    PlannerDependencies state_;
    const SnapshotBuilder& snapshot_builder_;
    std::optional<model::Resources> smallest_recent_request_;  // of the classes that came lately, by CPUs
    double last_preemption_s_;
    double last_autoscaling_s_ = 0;
};

}  // namespace pineroad::cluster
