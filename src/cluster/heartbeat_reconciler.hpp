// Reconciles the tasks that workers report with the placements on their machines.
#pragma once

#include <vector>

#include "cluster/failure_detector.hpp"
#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/stop_requests.hpp"
#include "cluster/task_lifecycle.hpp"
#include "cluster/term_context.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Applies heartbeats to the machine and job tables.
class HeartbeatReconciler {
   public:
    // All arguments must outlive this object.
    HeartbeatReconciler(const TermContext& context, JobTable& jobs, MachineTable& machines,
                        TaskLifecycle& task_lifecycle, StopRequests& stop_requests,
                        const FailureDetector& failure_detector)
        : context_(context),
          jobs_(jobs),
          machines_(machines),
          task_lifecycle_(task_lifecycle),
          stop_requests_(stop_requests),
          failure_detector_(failure_detector),
          last_heartbeat_s_(context.started_at_s) {}

    // Applies a heartbeat. Returns false without changing anything if it is stale or from a released machine.
    bool apply(const model::Heartbeat& heartbeat);
    // Returns when the latest heartbeat of any machine was applied, or the start of the term if there was
    // none.
    [[nodiscard]] double last_heartbeat_s() const { return last_heartbeat_s_; }

   private:
    // Whether a heartbeat shows that commands of the last response were carried out or ignored. Both may be
    // true.
    struct CommandAcknowledgement {
        bool acknowledged = false, ignored = false;
    };
    // Updates the machine's type, zone, address, heartbeat sequence and interruption notice. Releases it if
    // its lease expired because responses do not reach it.
    void update_identity(Machine& machine, const model::Heartbeat& heartbeat);
    // Applies the tasks of a heartbeat with this term's token, which lists all tasks on the machine.
    void apply_tasks(Machine& machine, const model::Heartbeat& heartbeat);
    // Applies one reported task. Returns its job if the task is on the machine where it was placed, nullptr
    // otherwise.
    Job* apply_task(Machine& machine, const model::ReportedTask& task,
                    CommandAcknowledgement& acknowledgement);
    // Applies the exit of a task. `job` is nullptr if its job is unknown.
    void apply_exit(Machine& machine, Job* job, bool is_placed_here, const model::ReportedTask& task,
                    CommandAcknowledgement& acknowledgement);
    // Handles the placements that a heartbeat with this term's token does not show.
    void handle_missing_placements(Machine& machine, const std::vector<PlacedTask>& reported,
                                   CommandAcknowledgement& acknowledgement);
    // Records whether the commands of the last response reached the machine.
    void record_acknowledgement(Machine& machine, const CommandAcknowledgement& acknowledgement);
    // Stops the tasks that can save a checkpoint before the machine is interrupted.
    void checkpoint_before_interruption(Machine& machine);

    const TermContext& context_;
    JobTable& jobs_;
    MachineTable& machines_;
    TaskLifecycle& task_lifecycle_;
    StopRequests& stop_requests_;
    const FailureDetector& failure_detector_;
    double last_heartbeat_s_;
};

}  // namespace pineroad::cluster
