// Jobs that depend on other jobs: what the leader starts and writes (LeaderSimulator), and how whole
// controllers respond to users during faults (ClusterSimulator). The invariant checker verifies too_early and
// orphaned besides its other rules.
#include <boost/json.hpp>
#include <ctime>

#include "cluster_simulator.hpp"
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;
namespace records = wire::records;
using model::ExitCause;
using model::TaskState;

model::JobSpec job_depending_on(const std::string& id, std::vector<std::string> dependencies,
                                std::uint32_t tasks = 1) {
    auto spec = array_job(id, tasks);
    spec.dependencies = std::move(dependencies);
    return spec;
}

// Places and starts the task, and reports it as running.
void run_task(LeaderSimulator& simulator, const std::string& task, const std::string& machine) {
    simulator.plan_and_commit(machine);
    simulator.set_task_state(task, TaskState::running);
    simulator.send_heartbeat(machine);
}

// --- the leader --------------------------------------------------------------------------------------------

// The leader learns that the last task of a dependency has exited, and fails before it writes the final
// record. The new leader knows of the exit only from a heartbeat, and must commit the final record before it
// starts the dependent job.
TEST(Dependencies, DependentStartsOnlyAfterFinalRecordIsCommitted) {
    LeaderSimulator simulator("dependency_end_in_failover");
    simulator.begin_term();
    simulator.add_worker("m-1");
    simulator.synchronize_worker("m-1");
    simulator.submit(array_job("j-1", 1));
    simulator.submit(job_depending_on("j-2", {"j-1"}));
    run_task(simulator, "j-1/0", "m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat("m-1");
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().jobs().at("j-2").placements.size(), 0U);
    simulator.begin_term();
    simulator.synchronize_worker("m-1");
    simulator.plan();
    EXPECT_TRUE(simulator.leader_state().jobs().at("j-1").all_tasks_done());
    EXPECT_EQ(simulator.leader_state().jobs().at("j-2").placements.size(), 0U);
    simulator.commit_all();
    simulator.plan_and_commit("m-1");
    EXPECT_EQ(simulator.leader_state().jobs().at("j-2").placements.size(), 1U);
    EXPECT_EQ(simulator.starts, 2);
}

// A dependency finished before the leader took over. The leader must read that from the final record and must
// not infer it from the missing live record; until then the dependent job does not start.
TEST(Dependencies, MissingLiveRecordDoesNotCountAsDone) {
    LeaderSimulator simulator("dependency_not_read");
    simulator.begin_term();
    simulator.add_worker("m-1");
    simulator.submit(array_job("j-1", 1));
    simulator.submit(job_depending_on("j-2", {"j-1"}));
    simulator.store.rows.erase(records::job_key("j-1"));
    simulator.begin_term();
    simulator.synchronize_worker("m-1");
    simulator.plan_and_commit("m-1");
    EXPECT_EQ(simulator.starts, 0);
    simulator.store.put(records::outcome_key("j-1"),
                        records::outcome_json({model::FinalStatus::done, simulator.wall_ms()}));
    simulator.begin_term();
    simulator.synchronize_worker("m-1");
    simulator.plan_and_commit("m-1");
    EXPECT_EQ(simulator.starts, 1);
}

// A job that waits for its dependencies takes up no capacity and no place in the queue, and no machines are
// provisioned for it. Its wait time counts from the moment it becomes ready, also under a later leader; its
// deadline counts from its submission.
TEST(Dependencies, WaitTimeCountsFromReadiness) {
    LeaderSimulator simulator("dependency_wait_counts");
    simulator.begin_term();
    simulator.add_worker("m-90");
    simulator.synchronize_worker("m-90");
    auto first = array_job("j-1", 1);
    first.allowed_machine_types = std::vector<std::string>{"g2"};  // no g2 machine exists yet
    simulator.submit(first);
    auto second = job_depending_on("j-2", {"j-1"}, 6);
    second.estimate_s = 10;
    simulator.submit(second);
    simulator.plan_and_commit("m-90");
    const auto requests = simulator.provision_machines();
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].type, "g2");
    simulator.advance(600);
    for (const auto& [id, worker] : simulator.workers) simulator.synchronize_worker(id);
    simulator.plan_and_commit();
    const auto machine = simulator.leader_state().jobs().at("j-1").placements.at(0).machine;
    simulator.send_heartbeat(machine);
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat(machine);
    simulator.commit_all();
    simulator.begin_term();
    for (const auto& [id, worker] : simulator.workers) simulator.synchronize_worker(id);
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.leader_state().jobs().at("j-2").placements.size(), 6U);
    EXPECT_LT(simulator.leader_state().jobs().at("j-2").xfactor_at_start, 1.5);
}

// The dependents of a cancelled job get their final records in several batches, each within the store's
// limits, with a failover in between.
TEST(Dependencies, CancelledDependentsAreRecordedAcrossFailover) {
    LeaderSimulator simulator("dependency_fan_withdrawn");
    simulator.config.max_transaction_changes = 4;
    simulator.config.max_value_kb = 2;
    simulator.begin_term();
    simulator.submit(array_job("j-0", 1));
    for (int i = 1; i <= 8; ++i) simulator.submit(job_depending_on("j-" + std::to_string(i), {"j-0"}));
    simulator.cancel("j-0");
    for (int i = 0; i < 2; ++i) {
        const auto batch = simulator.next_write_batch();
        ASSERT_TRUE(batch);
        simulator.apply_batch(*batch);
    }
    EXPECT_EQ(simulator.job_status("j-1"), "withdrawn");
    EXPECT_EQ(simulator.job_status("j-8"), "accepted");
    simulator.begin_term();
    simulator.commit_all();
    for (int i = 1; i <= 8; ++i) EXPECT_EQ(simulator.job_status("j-" + std::to_string(i)), "withdrawn");
}

// 4,000 jobs that wait for a dependency must not noticeably slow down planning.
TEST(Dependencies, WaitingJobsDoNotSlowPlanning) {
    LeaderSimulator simulator("dependency_many_waiting");
    simulator.begin_term();
    for (int i = 0; i < 50; ++i) {
        simulator.add_worker("m-" + std::to_string(100 + i));
        simulator.synchronize_worker("m-" + std::to_string(100 + i));
    }
    // CPU time, so that other load on the machine does not affect the result.
    const auto measure_planning_s = [&] {
        const auto start = std::clock();
        for (int i = 0; i < 20; ++i) {
            simulator.advance(1);
            simulator.plan();
        }
        return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    };
    const double without_waiting_s = measure_planning_s();
    simulator.submit(array_job("j-first", 1));
    std::string last = "j-first";
    for (int i = 0; i < 4000; ++i) {
        auto spec = job_depending_on("j-" + std::to_string(i), {last});
        if (i % 100 != 0) last = spec.id;
        spec.accepted_ms = simulator.wall_ms();
        simulator.add_accepted_job(spec);
    }
    const double with_waiting_s = measure_planning_s();
    // 20 rounds over 4,000 jobs; a snapshot of each job would take many times as long, with or without
    // sanitizers.
    EXPECT_LT(with_waiting_s, without_waiting_s + 1.0);
    EXPECT_LE(simulator.leader_state().jobs().at("j-first").placements.size(), 1U);
}

// --- whole controllers -------------------------------------------------------------------------------------

json::object dependencies_field(const std::vector<std::string>& ids) {
    json::array list;
    for (const auto& id : ids) list.emplace_back(id);
    return {{"WaitsOn", list}};
}

class PipelineCluster : public ClusterSimulator {
   public:
    explicit PipelineCluster(const std::string& trace, const ClusterOptions& options = {})
        : ClusterSimulator(trace, 3, options) {
        workers.cloud_capacity = 6;
        run(5);  // until there is a leader and every controller has heard from its peers
    }
    // Submits a job with these dependencies. Returns the HTTP status, or 0 without a response.
    int submit_job(int controller, const std::string& id, const std::vector<std::string>& dependencies = {}) {
        const auto response =
            submit(controller, id, dependencies.empty() ? json::object{} : dependencies_field(dependencies));
        return response ? response->status : 0;
    }
    // Returns the job's status, or the HTTP status if that is not 200.
    std::string job_status(int controller, const std::string& id) {
        const auto response = poll(controller, id);
        if (!response || response->status != 200)
            return response ? std::to_string(response->status) : "no answer";
        return std::string(json::parse(response->body).at("Status").as_string());
    }
    void expect_status_everywhere(const std::string& id, const std::string& expected) {
        for (int n = 0; n < controllers(); ++n) EXPECT_EQ(job_status(n, id), expected) << id << " at c-" << n;
    }
    void run_until_done(const std::string& id, double timeout_s) {
        for (const double deadline = now() + timeout_s; now() < deadline && job_status(0, id) != "done";)
            run(1);
        EXPECT_EQ(job_status(0, id), "done");
    }
};

// A pipeline of four stages, including a diamond, runs to its end. The last stage is submitted when all
// others are done.
TEST(Pipelines, RunInOrder) {
    PipelineCluster cluster("pipeline_in_order");
    cluster.workers.default_task_run_s = 5;
    EXPECT_EQ(cluster.submit_job(0, "j-1"), 201);
    // Another controller accepted j-1 a millisecond ago.
    EXPECT_EQ(cluster.submit_job(1, "j-2", {"j-1"}), 201);
    EXPECT_EQ(cluster.submit_job(2, "j-3", {"j-1", "j-1"}), 201);
    EXPECT_EQ(cluster.submit_job(0, "j-4", {"j-2", "j-3"}), 201);
    EXPECT_EQ(cluster.job_status(1, "j-4"), "queued");
    cluster.run_until_done("j-4", 60);
    EXPECT_EQ(cluster.submit_job(1, "j-5", {"j-4", "j-1"}), 201);
    cluster.run_until_done("j-5", 30);
    EXPECT_EQ(cluster.workers.starts, 5);
}

// An invalid dependency list is rejected at once with the reason. A repeated submission of a known job gets
// the job's status, whatever its list contains.
TEST(Pipelines, InvalidDependencyListsAreRejectedWithReason) {
    PipelineCluster cluster("pipeline_bad_lists");
    EXPECT_EQ(cluster.submit_job(0, "j-1"), 201);
    for (const auto& invalid_list :
         {json::value("j-1"), json::value(7), json::value(json::object{}), json::value(json::array{1}),
          json::value(json::array{"x-1"}), json::value(json::array{nullptr})}) {
        const auto response = cluster.submit(1, "j-2", {{"WaitsOn", invalid_list}});
        EXPECT_EQ(response->status, 400);
        EXPECT_NE(response->body.find("WaitsOn"), std::string::npos);
    }
    const auto unknown = cluster.submit(1, "j-2", dependencies_field({"j-1", "j-404"}));
    EXPECT_EQ(unknown->status, 422);
    EXPECT_NE(unknown->body.find("j-404"), std::string::npos);
    const auto itself = cluster.submit(1, "j-2", dependencies_field({"j-2"}));
    EXPECT_EQ(itself->status, 422);
    EXPECT_NE(itself->body.find("j-2"), std::string::npos);
    EXPECT_EQ(cluster.submit(0, "j-3", {{"Shape", "standing"}})->status, 201);
    const auto service = cluster.submit(1, "j-2", dependencies_field({"j-3"}));
    EXPECT_EQ(service->status, 422);
    EXPECT_NE(service->body.find("j-3"), std::string::npos);
    EXPECT_EQ(cluster.submit(1, "j-2", {{"WaitsOn", nullptr}})->status, 201);
    EXPECT_EQ(cluster.submit(2, "j-4", {{"WaitsOn", json::array{}}})->status, 201);
    EXPECT_EQ(cluster.submit(2, "j-2", dependencies_field({"j-404"}))->status, 200);
    // Without the store no controller can prove that a job was never accepted.
    cluster.rejected_by_store = {1};
    const auto undetermined = cluster.submit(1, "j-5", dependencies_field({"j-404"}));
    EXPECT_EQ(undetermined->status, 503);
    EXPECT_GT(undetermined->retry_after_s, 0);
}

// Right after a cancellation every controller reports all dependent jobs as withdrawn, also when it responds
// from memory alone.
TEST(Pipelines, CancellationReachesAllDependentJobs) {
    PipelineCluster cluster("pipeline_cancelled");
    EXPECT_EQ(cluster.submit_job(0, "j-1"), 201);
    std::string last = "j-1";
    for (int i = 1; i <= 50; ++i) {
        const auto id = "j-c" + std::to_string(i);
        EXPECT_EQ(cluster.submit_job(i % 3, id, {last}), 201);
        last = id;
    }
    EXPECT_EQ(cluster.submit_job(0, "j-2", {"j-1"}), 201);
    EXPECT_EQ(cluster.submit_job(1, "j-3", {"j-1", "j-2"}), 201);
    cluster.run(15);
    EXPECT_EQ(cluster.cancel(1, "j-1")->status, 200);
    for (const auto* id : {"j-c1", "j-c50", "j-2", "j-3"}) cluster.expect_status_everywhere(id, "withdrawn");
    EXPECT_EQ(cluster.submit_job(2, "j-4", {"j-c50"}), 201);
    EXPECT_EQ(cluster.job_status(0, "j-4"), "withdrawn");
    EXPECT_EQ(json::parse(cluster.cancel(0, "j-c7")->body).at("Status"), "withdrawn");
    cluster.run(60);
    cluster.expect_status_everywhere("j-c25", "withdrawn");
    EXPECT_EQ(cluster.workers.starts, 1);
}

// A cancellation is confirmed just before a store outage. A peer that was informed confirms it as well, and
// all dependent jobs stay withdrawn across the outage, a failover and a restart of every process.
TEST(Pipelines, DependentsStayCancelledAcrossOutageAndFailover) {
    PipelineCluster cluster("pipeline_fan_in_outage");
    EXPECT_EQ(cluster.submit_job(0, "j-1"), 201);
    for (int i = 0; i < 500; ++i)
        cluster.store.put_job(job_depending_on("j-f" + std::to_string(i), {"j-1"}), cluster.now());
    cluster.run(2);
    EXPECT_EQ(cluster.job_status(2, "j-f499"), "queued");
    const int old_leader = cluster.leader(), confirming_controller = (old_leader + 1) % 3;
    EXPECT_EQ(cluster.cancel(confirming_controller, "j-1")->status, 200);
    cluster.note("outage    of the store");
    cluster.store_outage = true;
    cluster.run(3);
    EXPECT_EQ(cluster.job_status(confirming_controller, "j-f0"), "withdrawn");
    EXPECT_EQ(cluster.job_status(old_leader, "j-f499"), "withdrawn");
    cluster.kill(old_leader);
    cluster.run(10);
    cluster.note("outage    ends");
    cluster.store_outage = false;
    cluster.store.extend_leases(cluster.now());
    cluster.restart(old_leader);
    cluster.run(12);
    cluster.expect_status_everywhere("j-f250", "withdrawn");
    for (int n = 0; n < 3; ++n) cluster.restart(n);  // nothing is left in memory
    cluster.run(8);
    cluster.expect_status_everywhere("j-f499", "withdrawn");
    cluster.run(90);
    EXPECT_EQ(cluster.store.live_job_count(), 0U);
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

// A cancellation of a job races with its completion: whichever comes first decides for its dependents.
TEST(Pipelines, CancellationRacingWithCompletionAppliesToDependents) {
    PipelineCluster cluster("pipeline_cancel_at_end");
    std::vector<std::string> jobs;
    for (int i = 1; i <= 5; ++i) {
        jobs.push_back("j-" + std::to_string(i));
        cluster.workers.task_run_s[jobs.back() + "/0"] = 20;
        EXPECT_EQ(cluster.submit_job(0, jobs.back()), 201);
        EXPECT_EQ(cluster.submit_job(0, jobs.back() + "next", {jobs.back()}), 201);
    }
    cluster.run_until_first_task_ends(jobs.size());
    cluster.workers.default_task_run_s = 3;
    for (int n = 0; const auto& id : jobs) {
        const auto response = cluster.cancel(n % 3, id);
        const auto confirmed_status = std::string(json::parse(response->body).at("Status").as_string());
        const auto dependent_status = cluster.job_status((n + 1) % 3, id + "next");
        EXPECT_EQ(confirmed_status == "withdrawn", dependent_status == "withdrawn") << id;
        cluster.run(0.04 * ++n);
    }
    cluster.run(30);
    for (const auto& id : jobs) {
        const auto dependent_status = cluster.job_status(1, id + "next");
        const auto status = cluster.job_status(0, id);
        EXPECT_EQ(status == "done", dependent_status == "done") << id;
    }
}

// The dependencies finished before all processes were restarted, so no controller has them in memory. A list
// may name a job of another team, and a job may be submitted while its dependency is being cancelled.
TEST(Pipelines, DependenciesFinishedBeforeRestartAreResolved) {
    PipelineCluster cluster("pipeline_long_ago");
    cluster.workers.task_run_s["j-1/0"] = 2;
    cluster.workers.default_task_run_s = 40;
    EXPECT_EQ(cluster.submit(0, "j-1", {{"Crew", "capped"}})->status, 201);
    EXPECT_EQ(cluster.submit_job(0, "j-2"), 201);
    EXPECT_EQ(cluster.cancel(1, "j-2")->status, 200);
    EXPECT_EQ(cluster.submit_job(0, "j-3"), 201);
    EXPECT_EQ(cluster.submit_job(0, "j-4", {"j-3", "j-1"}), 201);
    cluster.run_until_done("j-1", 30);
    for (int n = 0; n < 3; ++n) cluster.restart(n);
    cluster.run(8);
    EXPECT_EQ(cluster.submit_job(0, "j-5", {"j-1"}), 201);
    EXPECT_EQ(cluster.submit_job(1, "j-6", {"j-2"}), 201);
    EXPECT_EQ(cluster.job_status(2, "j-6"), "withdrawn");
    EXPECT_EQ(cluster.submit_job(1, "j-6", {"j-2"}), 200);
    EXPECT_EQ(cluster.submit_job(2, "j-7"), 201);
    const auto pending_response = cluster.send_request(0, "POST", "/submissions/j-7/cancel");
    EXPECT_EQ(cluster.submit_job(1, "j-8", {"j-7"}), 201);
    cluster.run(1);
    ASSERT_TRUE(*pending_response);
    cluster.expect_status_everywhere("j-8", "withdrawn");
    cluster.run_until_done("j-4", 120);  // j-1 had finished before the new leader's term began
    cluster.run_until_done("j-5", 60);
}

// A restarted process responds for the first time just after it has read the live records. The outcome of j-1
// is not among these, so the process must look it up before it responds.
TEST(Pipelines, FirstResponseAfterRestartResolvesDependencies) {
    PipelineCluster cluster("pipeline_first_answer");
    for (int n = 0; n < 3; ++n) cluster.kill(n);
    cluster.store.put_job(job_depending_on("j-2", {"j-1"}), cluster.now());
    cluster.store.put_job(job_depending_on("j-3", {"j-2"}), cluster.now());
    cluster.store.put(records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::cancelled, 1}));
    cluster.run(1);
    cluster.restart(1);
    std::string first_status;
    for (int i = 0; i < 400 && first_status.size() != std::string("withdrawn").size(); ++i) {
        const auto pending_response = cluster.send_request(1, "GET", "/submissions/j-3");
        for (int wait = 0; wait < 400 && !*pending_response; ++wait) cluster.run(0.005);
        ASSERT_TRUE(*pending_response);
        if ((*pending_response)->status == 503) continue;
        ASSERT_EQ((*pending_response)->status, 200);
        first_status = std::string(json::parse((*pending_response)->body).at("Status").as_string());
        EXPECT_EQ(first_status, "withdrawn");
        break;
    }
    EXPECT_EQ(first_status, "withdrawn");
}

// At the smallest limits of the store, a list of 500 names is accepted in one transaction. A list with more
// names or more bytes is rejected with an error, and its job stays unknown.
TEST(Pipelines, LongDependencyListsAreAcceptedWholeOrRejected) {
    ClusterOptions small_limits;
    small_limits.adjust_settings = [](config::Settings& s) {
        s.max_value_kb = 2, s.max_transaction_changes = 4;
    };
    PipelineCluster cluster("pipeline_long_lists", small_limits);
    cluster.store.max_value_bytes = 2048, cluster.store.max_transaction_changes = 4;
    cluster.workers.cloud_capacity = 0;
    std::vector<std::string> names;
    for (int i = 0; i < 500; ++i) names.push_back("j-" + std::to_string(100000 + i));
    for (const auto& id : names) cluster.store.put_job(job_depending_on(id, {}), cluster.now());
    cluster.run(1);
    EXPECT_EQ(cluster.submit_job(0, "j-all", names), 201);
    for (int n = 0; n < 3; ++n) EXPECT_EQ(cluster.submit_job(n, "j-all", names), 200);
    cluster.expect_status_everywhere("j-all", "queued");
    cluster.restart((cluster.leader() + 1) % 3);
    cluster.run(6);
    EXPECT_EQ(cluster.cancel(0, names.back())->status, 200);
    cluster.expect_status_everywhere("j-all", "withdrawn");
    cluster.run(30);
    EXPECT_EQ(cluster.store.count_rows_with_prefix(records::dependencies_prefix), 0U);
    auto too_many_names = names;
    too_many_names.pop_back();
    too_many_names.insert(too_many_names.end(), {"j-100000", "j-1", "j-2"});
    EXPECT_EQ(cluster.submit_job(0, "j-more", too_many_names), 400);
    std::vector<std::string> long_names;
    for (int i = 0; i < 300; ++i) long_names.push_back("j-" + std::string(32, 'x') + std::to_string(i));
    for (const auto& id : long_names) cluster.store.put_job(job_depending_on(id, {}), cluster.now());
    cluster.run(1);
    EXPECT_EQ(cluster.submit_job(0, "j-long", long_names), 400);
    cluster.expect_status_everywhere("j-long", "404");
    EXPECT_EQ(cluster.store.oversized_commits, 0);
}

}  // namespace
}  // namespace pineroad::test
