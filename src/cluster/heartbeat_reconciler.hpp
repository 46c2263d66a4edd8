// Reconciles what workers report with what is placed on their machines.
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

    // Applies a heartbeat. False: it is stale, or from a machine that was released; it changed nothing.
    bool apply(const model::Heartbeat& heartbeat);
    // When the latest heartbeat of any machine was applied; the start of the term before the first.
    [[nodiscard]] double last_heartbeat_s() const { return last_heartbeat_s_; }

   private:
    // What a heartbeat shows of the commands in the last answer: some were carried out, some were ignored.
    struct CommandAcknowledgement {
        bool acknowledged = false, ignored = false;
    };
    // Who reports, and from where.
    void update_identity(Machine& machine, const model::Heartbeat& heartbeat);
    // The tasks of a heartbeat under this term's token: all that is on the machine.
    void apply_tasks(Machine& machine, const model::Heartbeat& heartbeat);
    // One task. Returns its job if the task is where it was placed, and nullptr otherwise.
    Job* apply_task(Machine& machine, const model::ReportedTask& task,
                    CommandAcknowledgement& acknowledgement);
    // A task that ended, of a job that may be unknown.
    void apply_exit(Machine& machine, Job* job, bool is_placed_here, const model::ReportedTask& task,
                    CommandAcknowledgement& acknowledgement);
    // Placements that a heartbeat under this term's token does not show.
    void handle_missing_placements(Machine& machine, const std::vector<PlacedTask>& reported,
                                   CommandAcknowledgement& acknowledgement);
    // What the heartbeat says of the last answer.
    void record_acknowledgement(Machine& machine, const CommandAcknowledgement& acknowledgement);
    // Stops what can save before the machine is interrupted.
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
