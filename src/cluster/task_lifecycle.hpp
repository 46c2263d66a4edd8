// The life of a task: it is placed, exits or is lost; and the effects on its job and its machine.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/pending_changes.hpp"
#include "cluster/run_time_estimates.hpp"
#include "cluster/stop_requests.hpp"
#include "cluster/term_context.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// The proof that a placed task is not on its machine.
enum class LossReason {
    not_on_machine,       // a heartbeat with this term's token does not show it
    start_never_arrived,  // the start was lost and is not sent again
    machine_released,     // the cloud confirmed the release of its machine
    withdrawn,            // the placement was withdrawn before its start was sent
};

// Applies the changes in a task's life to its job and its machine together, so that the machine's list of
// tasks always matches the placements that name the machine.
class TaskLifecycle {
   public:
    // All arguments must outlive this object.
    TaskLifecycle(const TermContext& context, JobTable& jobs, MachineTable& machines,
                  PendingChanges& pending_changes, StopRequests& stop_requests, RunTimeEstimates& estimates)
        : context_(context),
          jobs_(jobs),
          machines_(machines),
          pending_changes_(pending_changes),
          stop_requests_(stop_requests),
          estimates_(estimates) {}

    // Cancels a job because a user cancelled it or its record is gone. Tasks whose start was not sent never
    // start; the others are stopped. Does nothing for unknown or finished jobs.
    void cancel_job(const std::string& id);
    // Cancels a job because a job that it depends on was cancelled. None of its tasks was placed, and its own
    // final record must be written.
    void cancel_job_by_dependency(const std::string& id);

    // Adds the placement of a task. Adds its machine if it is unknown.
    void place(Job& job, TaskPlacement placement);
    // Handles the exit of a task that a heartbeat of its machine reported.
    void handle_exit(Job& job, const model::ReportedTask& task, Machine& machine);
    // Handles a task that is proven not to be on its machine and whose outcome is unknown.
    void mark_lost(Job& job, std::uint32_t task, LossReason reason);
    // Records that a task completed under a placement that no longer exists: its result is kept, so it counts
    // as done.
    void record_unplaced_completion(Job& job, const model::ReportedTask& task);

   private:
    // Removes the placement from both tables and returns it.
    TaskPlacement remove_placement(Job& job, Placements::iterator placement);
    // Handles a task that succeeded.
    void handle_success(Job& job, const TaskPlacement& placement, Machine& machine);
    // Handles a task that exited without success.
    void handle_failure(Job& job, const TaskPlacement& placement, const model::ReportedTask& task,
                        Machine& machine);
    // Updates the gang after it lost a member. Does nothing for other jobs.
    void update_gang_after_loss(Job& job);
    // Records a task's error and attributes it to its machine or to its job.
    void record_failure(Job& job, Machine& machine);
    // Stops all tasks on a faulty machine. It receives no new tasks and is released.
    void quarantine(Machine& machine);

    const TermContext& context_;
    JobTable& jobs_;
    MachineTable& machines_;
    PendingChanges& pending_changes_;
    StopRequests& stop_requests_;
    RunTimeEstimates& estimates_;
};

}  // namespace pineroad::cluster
