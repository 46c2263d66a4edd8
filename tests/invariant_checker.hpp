/// Checks the protocol's invariants at every step of a simulated cluster, from the tasks that all machines
/// execute and the responses that users received, which no controller can see at once. A violation fails the
/// test with the invariant's name:
/// - ran_twice: a task starts while the same task executes on another machine.
/// - ran_cancelled: a task executes longer than `cancellation_timeout_s` after its job's cancellation
///   was confirmed.
/// - went_back: a user is told something else after a confirmed completion or cancellation.
/// - not_done: a job is reported as done before all of its tasks have completed.
/// - too_early: a task starts before the jobs that its job depends on have completed.
/// - orphaned: a job is reported as queued or running longer than `cancellation_timeout_s` after the
///   confirmed cancellation of a job that it depends on.
/// - quota: the team "capped" uses more GPUs than its quota.
/// - wrong_place: a task starts in another zone than its job requires.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulated_machine.hpp"

namespace pineroad::test {

class InvariantChecker {
   public:
    explicit InvariantChecker(const SimulatedMachines& machines) : machines_(machines) {}

    /// Records a job from the body of its submission; called before the submission is sent.
    void record_submission(const boost::json::object& submission);
    /// Records that a submission was accepted now (201), as queued. A job that names a cancelled one is
    /// accepted in the same way; only responses to later requests say that it is withdrawn.
    void record_acceptance(const std::string& job, const std::string& status);
    /// Records the job status that a user received, and checks that it does not contradict an earlier one.
    void record_confirmed_status(const std::string& job, const std::string& status, double now);
    void record_task_completion(const model::TaskId& task);
    /// Checks a task that has fetched its image and starts to execute.
    void check_start(const SimulatedMachine& machine, const SimulatedTask& task) const;
    /// Checks that a task does not execute longer than `cancellation_timeout_s` after its job's confirmed
    /// cancellation. Reports each task once.
    void check_execution(const SimulatedMachine& machine, const SimulatedTask& task, double now);

    [[nodiscard]] bool is_cancellation_confirmed(const std::string& job) const;

    double cancellation_timeout_s = 66;  ///< from a confirmed cancellation until no task executes
    double team_gpus_max = 2;            ///< quota of the team "capped", as in settings()

   private:
    struct Job {
        std::string team, zone;
        std::uint64_t tasks = 1;
        double gpus = 1;
        std::vector<std::string> dependencies;
        bool is_gang = false;
        bool completion_confirmed = false;
        std::set<std::uint32_t> completed_tasks;
    };
    /// Returns the time of the earliest confirmed cancellation among the job's direct and indirect
    /// dependencies.
    [[nodiscard]] std::optional<double> earliest_dependency_cancellation(const std::string& job) const;
    /// Returns the GPUs that the team's executing tasks use.
    [[nodiscard]] double gpus_in_use(const std::string& team) const;

    const SimulatedMachines& machines_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, double> confirmed_cancellations_;  // time by job
    std::set<std::string> reported_tasks_;                   // by check_execution()
};

}  // namespace pineroad::test
