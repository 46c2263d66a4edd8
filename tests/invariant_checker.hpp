/// The protocol's rules, checked at every step of a simulated cluster: from what machines really run and
/// what users were really answered, which no controller can see at once. A violation fails the test with the
/// rule's name (ran_twice, ran_cancelled, went_back, not_done, too_early, orphaned, quota, wrong_place).
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

    /// A job in the form of a submission, before it is sent.
    void record_submission(const boost::json::object& submission);
    /// A user got an answer that shows the job's status: what was confirmed may not be taken back.
    void record_confirmed_status(const std::string& job, const std::string& status, double now);
    void record_task_completion(const model::TaskId& task);
    /// A task that has its image starts to execute.
    void check_start(const SimulatedMachine& machine, const SimulatedTask& task) const;
    /// A task may not execute longer than cancel_s after its cancellation was confirmed; once a task.
    void check_execution(const SimulatedMachine& machine, const SimulatedTask& task, double now);

    [[nodiscard]] bool is_cancellation_confirmed(const std::string& job) const;

    double cancellation_timeout_s = 66;  ///< from a confirmed cancellation until nothing of it executes
    double team_gpus_max = 2;            ///< of the team "capped", as in settings()

   private:
    struct Job {
        std::string team, zone;
        std::uint64_t tasks = 1;
        double gpus = 1;
        std::vector<std::string> dependencies;
        bool completion_confirmed = false;
        std::set<std::uint32_t> completed_tasks;
    };
    /// The earliest confirmed cancellation of a job that this one depends on, through others too.
    [[nodiscard]] std::optional<double> earliest_dependency_cancellation(const std::string& job) const;
    /// Of the team's executing tasks.
    [[nodiscard]] double gpus_in_use(const std::string& team) const;

    const SimulatedMachines& machines_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, double> confirmed_cancellations_;  // when
    std::set<std::string> reported_tasks_;                   // that were reported
};

}  // namespace pineroad::test
