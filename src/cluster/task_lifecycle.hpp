// What happens to a task: it is placed, it exits, it is lost; and what that means for its job and its
// machine.
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

// Why it is proven that a placed task is not on its machine.
enum class LossReason {
    not_on_machine,       // a heartbeat under this term's token does not show it
    start_never_arrived,  // the start was dropped, and is not given again
    machine_released,     // the release of its machine was answered
    withdrawn,            // its start was never sent
};

// Applies the changes in a task's life to its job and its machine, in both tables at once: the machine's list
// of tasks always names exactly the placements that name the machine.
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

    // The job was cancelled by a user, or its record is gone: what is not on a machine yet never starts, the
    // rest is stopped. Unknown jobs and jobs that are over are left as they are.
    void cancel_job(const std::string& id);
    // A job that the job depends on was cancelled: it has no tasks, and its own final record is to be
    // written.
    void cancel_job_by_dependency(const std::string& id);

    // The task is placed. Its machine is added if it was not known.
    void place(Job& job, TaskPlacement placement);
    // A heartbeat of its machine shows that the task exited.
    void handle_exit(Job& job, const model::ReportedTask& task, Machine& machine);
    // It is proven that the task is not on its machine, and not how it ended.
    void mark_lost(Job& job, std::uint32_t task, LossReason reason);
    // A task was done under a placement that was withdrawn meanwhile: its result is kept, so it counts.
    void record_unplaced_completion(Job& job, const model::ReportedTask& task);

   private:
    // Removes the placement from both tables.
    TaskPlacement remove_placement(Job& job, Placements::iterator placement);
    // The task was done.
    void handle_success(Job& job, const TaskPlacement& placement, Machine& machine);
    // The task ended without being done.
    void handle_failure(Job& job, const TaskPlacement& placement, const model::ReportedTask& task,
                        Machine& machine);
    // What the loss of one task means for the rest of its job.
    void update_gang_after_loss(Job& job);
    // The task ended in an error: the fault is that of the machine or of the job.
    void record_failure(Job& job, Machine& machine);
    // Stops everything on a faulty machine; it gets nothing new and is released.
    void quarantine(Machine& machine);

    const TermContext& context_;
    JobTable& jobs_;
    MachineTable& machines_;
    PendingChanges& pending_changes_;
    StopRequests& stop_requests_;
    RunTimeEstimates& estimates_;
};

}  // namespace pineroad::cluster
