// Numbers far outside any plausible range, from users, workers, the cloud and stored records: they must
// neither end a process nor keep a job from running.
#include <gtest/gtest.h>

#include <limits>

#include "cluster_simulator.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;
namespace records = wire::records;

constexpr double largest_double = std::numeric_limits<double>::max();

// Three controllers and one machine with room for four tasks, so that further tasks wait.
class OneMachineCluster : public ClusterSimulator {
   public:
    explicit OneMachineCluster(const std::string& trace) : ClusterSimulator(trace, 3) {
        workers.cloud_capacity = 1;
        workers.default_task_run_s = 10;
    }
    // Submits a job of four tasks, which occupy the whole machine, and waits until they run.
    void fill_machine(const std::string& id) {
        EXPECT_EQ(submit(0, id, {{"Pieces", 4}})->status, 201);
        for (int i = 0; i < 60 && workers.executing_task_count() < 4; ++i) run(0.5);
        ASSERT_EQ(workers.executing_task_count(), 4U);
    }
    void expect_done(const std::string& id, double timeout_s) {
        const auto is_done = [&] {
            const auto response = poll(0, id);
            return response && response->body.find(R"("Status":"done")") != std::string::npos;
        };
        for (const double deadline = now() + timeout_s; now() < deadline && !is_done();) run(5);
        EXPECT_TRUE(is_done()) << id;
    }
};

// Guards against the end of every leader: the estimate made sums infinite in the autoscaling round, and a
// vector was resized to a size that was not a number.
TEST(ExtremeNumbers, LargestEstimateKeepsNoLeaderFromPlanning) {
    OneMachineCluster cluster("extreme_estimate");
    cluster.run(5);
    cluster.fill_machine("j-1");
    EXPECT_EQ(cluster.submit(1, "j-2", {{"Pieces", 4}, {"GuessS", largest_double}})->status, 201);
    EXPECT_EQ(cluster.submit(2, "j-3")->status, 201);
    for (const auto* id : {"j-1", "j-2", "j-3"}) cluster.expect_done(id, 75);
    EXPECT_EQ(cluster.store.fencing_token(), 1U);  // the first leader still leads
}

// Guards against jobs that an earlier version accepted: their records hold the amounts as the user sent them,
// and every new leader reads them.
TEST(ExtremeNumbers, LargestAmountsOfAnEarlierVersionKeepNoLeaderFromPlanning) {
    OneMachineCluster cluster("extreme_amounts_of_earlier_version");
    cluster.run(5);
    cluster.fill_machine("j-1");
    auto spec = array_job("j-2", 4);
    spec.image_gb = spec.estimate_s = spec.checkpoint_interval_s = spec.checkpoint_save_s = largest_double;
    spec.deadline_s = largest_double;
    spec.allows_spot = true;
    cluster.workers.invariants.record_submission(
        {{"NameId", "j-2"}, {"Crew", "team"}, {"Pieces", 4}, {"Accelerators", 1}});
    cluster.store.put_job(spec, cluster.now());
    cluster.run(3);
    // The next leader reads the record together with the placements of the first.
    cluster.note("end       of the leader");
    cluster.restart(cluster.leader());
    for (const auto* id : {"j-1", "j-2"}) cluster.expect_done(id, 100);
    EXPECT_EQ(cluster.store.fencing_token(), 2U);
    // A repeated submission of the accepted job is answered with its state.
    EXPECT_EQ(cluster.submit(1, "j-2", {{"GuessS", largest_double}})->status, 200);
}

// Guards against undefined conversions and infinite sums of the other amounts of a submission.
class ExtremeAmount : public ::testing::TestWithParam<std::string> {};

TEST_P(ExtremeAmount, IsAcceptedAndTheJobRuns) {
    OneMachineCluster cluster("extreme_amount_" + GetParam());
    cluster.run(5);
    cluster.fill_machine("j-1");
    EXPECT_EQ(cluster.submit(1, "j-2", {{"Pieces", 3}, {GetParam(), largest_double}})->status, 201);
    EXPECT_EQ(cluster.submit(2, "j-3", {{"WaitsOn", {"j-2"}}, {GetParam(), largest_double}})->status, 201);
    for (const auto* id : {"j-1", "j-2", "j-3"}) cluster.expect_done(id, 100);
    EXPECT_EQ(cluster.store.fencing_token(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Submission, ExtremeAmount,
                         ::testing::Values("GuessS", "DueS", "NotchS", "StashS", "SizeGb"),
                         [](const auto& info) { return info.param; });

// Guards against a service that nobody can lead: a leader that saw the largest token stepped down, and the
// token of the next term was 0, which workers and peers take for an old one.
TEST(ExtremeNumbers, LargestTokenOfAWorkerEndsNoTerm) {
    OneMachineCluster cluster("extreme_token");
    cluster.run(5);
    const int leader = cluster.leader();
    model::Heartbeat heartbeat;
    heartbeat.machine = "m-9", heartbeat.agent_epoch = 1, heartbeat.sequence = 1;
    heartbeat.fencing_token = std::numeric_limits<std::uint64_t>::max();
    for (int node = 0; node < 3; ++node) cluster.send_heartbeat(node, heartbeat);
    cluster.run(10);
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.store.fencing_token(), 1U);
    cluster.fill_machine("j-1");
}

// Guards against records whose numbers no version writes: requests for billions of machines, tasks and shards
// that no job can have, and times that overflow. The next leader must start all jobs that it can read.
TEST(ExtremeNumbers, StoredNumbersOutOfRangeKeepNoLeaderFromPlanning) {
    OneMachineCluster cluster("extreme_records");
    const std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    cluster.workers.invariants.record_submission(
        {{"NameId", "j-2"}, {"Crew", "team"}, {"Pieces", 2}, {"Accelerators", 1}});
    auto job = records::job_json(array_job("j-2", 2)).as_object();
    job["at"] = largest;
    cluster.store.put(records::job_key("j-2"), job);
    job["more"] = 1ULL << 32;
    cluster.store.put(records::job_key("j-3"), job);
    auto progress = records::progress_json(model::Progress{}).as_object();
    progress["d"] = json::array{json::array{1, (1ULL << 32) - 1}};  // task 1 is done
    progress["r"] = json::array{json::array{1ULL << 32, 1, "m-1"}};
    progress["t"] = "team";
    cluster.workers.invariants.record_task_completion({"j-2", 1});
    cluster.store.put(records::progress_key("j-2"), progress);
    cluster.store.put(
        std::string(records::provisioning_requests_key),
        json::object{{"r-1-1", {{"type", "g4"}, {"zone", "a"}, {"spot", false}, {"count", largest}}}});
    cluster.store.put(std::string(records::category_averages_key),
                      json::object{{"w0l1", json::array{largest_double, largest}}});
    cluster.run(5);
    cluster.expect_done("j-2", 100);
    EXPECT_EQ(cluster.store.fencing_token(), 1U);
    // Its list of dependencies is incomplete, so it must not start.
    EXPECT_FALSE(cluster.workers.has_live_task_of("j-3"));
    // The averages are written together with the progress of another job.
    EXPECT_EQ(cluster.submit(0, "j-4")->status, 201);
    cluster.expect_done("j-4", 75);
    const auto& averages = cluster.store.rows().at(std::string(records::category_averages_key)).value;
    EXPECT_GT(averages.at("w0l1").at(1).to_number<std::uint64_t>(), 0U);
    EXPECT_TRUE(averages.at("w0l1").at(0).is_number());
    EXPECT_LT(averages.at("w0l1").at(0).to_number<double>(), largest_double);
    EXPECT_EQ(cluster.store.fencing_token(), 1U);
}

}  // namespace
}  // namespace pineroad::test
