#include "invariant_checker.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>

namespace pineroad::test {

namespace json = boost::json;

void InvariantChecker::record_submission(const json::object& submission) {
    Job job;
    job.team = submission.at("Crew").as_string();
    if (submission.contains("Yard") && submission.at("Yard").is_string())
        job.zone = submission.at("Yard").as_string();
    job.tasks = submission.at("Pieces").to_number<std::uint64_t>();
    if (const auto* shape = submission.if_contains("Shape")) job.is_gang = *shape == "group";
    job.gpus = submission.at("Accelerators").to_number<double>();
    if (const auto* list = submission.if_contains("WaitsOn"); list && list->is_array())
        for (const auto& id : list->get_array())
            if (id.is_string()) job.dependencies.emplace_back(id.get_string());
    jobs_.emplace(submission.at("NameId").as_string(), job);
}

std::optional<double> InvariantChecker::earliest_dependency_cancellation(const std::string& job) const {
    std::optional<double> earliest;
    std::set<std::string> seen;
    std::vector<std::string> pending{job};
    while (!pending.empty()) {
        const auto found = jobs_.find(pending.back());
        pending.pop_back();
        if (found == jobs_.end()) continue;
        for (const auto& dependency : found->second.dependencies) {
            if (!seen.insert(dependency).second) continue;
            pending.push_back(dependency);
            const auto confirmed = confirmed_cancellations_.find(dependency);
            if (confirmed == confirmed_cancellations_.end()) continue;
            earliest = std::min(earliest.value_or(confirmed->second), confirmed->second);
        }
    }
    return earliest;
}

void InvariantChecker::record_acceptance(const std::string& id, const std::string& status) {
    EXPECT_EQ(status, "queued") << id;
    EXPECT_FALSE(is_cancellation_confirmed(id)) << "went_back: " << id << " accepted anew";
    const auto found = jobs_.find(id);
    EXPECT_FALSE(found != jobs_.end() && found->second.completion_confirmed)
        << "went_back: " << id << " accepted anew";
}

void InvariantChecker::record_confirmed_status(const std::string& id, const std::string& status, double now) {
    const auto cancelled_at = earliest_dependency_cancellation(id);
    const bool live = status == "queued" || status == "running";
    EXPECT_FALSE(live && cancelled_at && now > *cancelled_at + cancellation_timeout_s)
        << "orphaned: " << id << " " << status;
    if (status == "withdrawn") confirmed_cancellations_.emplace(id, now);
    EXPECT_FALSE(status != "withdrawn" && is_cancellation_confirmed(id))
        << "went_back: " << id << " " << status;
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    auto& job = found->second;
    EXPECT_FALSE(status != "done" && job.completion_confirmed) << "went_back: " << id << " " << status;
    EXPECT_TRUE(status != "done" || job.completed_tasks.size() == job.tasks) << "not_done: " << id;
    job.completion_confirmed |= status == "done";
}

// The tasks of a gang complete together: if one is done, every one is.
void InvariantChecker::record_task_completion(const model::TaskId& task) {
    auto& job = jobs_[task.job];
    job.completed_tasks.insert(task.index);
    if (!job.is_gang) return;
    for (std::uint32_t index = 0; index < job.tasks; ++index) job.completed_tasks.insert(index);
}

bool InvariantChecker::is_cancellation_confirmed(const std::string& job) const {
    return confirmed_cancellations_.contains(job);
}

double InvariantChecker::gpus_in_use(const std::string& team) const {
    double gpus = 0;
    for (const auto& [id, machine] : machines_)
        for (const auto& task : machine.tasks)
            if (task.is_executing() && jobs_.at(task.id.job).team == team) gpus += jobs_.at(task.id.job).gpus;
    return gpus;
}

void InvariantChecker::check_start(const SimulatedMachine& machine, const SimulatedTask& task) const {
    const auto& job = jobs_.at(task.id.job);
    for (const auto& dependency : job.dependencies)
        EXPECT_EQ(jobs_.at(dependency).completed_tasks.size(), jobs_.at(dependency).tasks)
            << "too_early: " << name_of(task.id) << " before " << dependency;
    EXPECT_TRUE(job.zone.empty() || job.zone == machine.zone)
        << "wrong_place: " << name_of(task.id) << " on " << machine.id;
    for (const auto& [id, other_machine] : machines_)
        for (const auto& other_task : other_machine.tasks) {
            if (!other_task.is_executing()) continue;
            EXPECT_FALSE(id != machine.id && other_task.id == task.id)
                << "ran_twice: " << name_of(task.id) << " on " << id << " and " << machine.id;
        }
    EXPECT_TRUE(job.team != "capped" || gpus_in_use(job.team) <= team_gpus_max)
        << "quota: " << name_of(task.id);
}

void InvariantChecker::check_execution(const SimulatedMachine& machine, const SimulatedTask& task,
                                       double now) {
    if (!task.is_executing()) return;
    const auto cancelled = confirmed_cancellations_.find(task.id.job);
    if (cancelled == confirmed_cancellations_.end() || now <= cancelled->second + cancellation_timeout_s)
        return;
    if (!reported_tasks_.insert(name_of(task.id)).second) return;
    ADD_FAILURE() << "ran_cancelled: " << name_of(task.id) << " on " << machine.id << " "
                  << now - cancelled->second << " s after its cancellation was confirmed";
}

}  // namespace pineroad::test
