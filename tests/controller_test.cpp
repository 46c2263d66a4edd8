// Whole controllers in simulated time: elections, store outages and partitions, and the responses to users
// and workers during them.
#include <gtest/gtest.h>

#include "cluster_simulator.hpp"

namespace pineroad::test {
namespace {

namespace records = wire::records;

model::Heartbeat idle_heartbeat(std::uint64_t sequence, std::uint64_t fencing_token = 0) {
    model::Heartbeat heartbeat;
    heartbeat.machine = "m-1", heartbeat.agent_epoch = 1, heartbeat.sequence = sequence,
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
}

// Exactly one controller leads. Any controller accepts a job, and all others know it at once.
TEST(Controller, OneLeaderServesWorkersAndAllServeUsers) {
    ClusterSimulator cluster("controllers_quiet", 3);
    cluster.run(5);
    EXPECT_FALSE(cluster.store.leader().empty());
    EXPECT_EQ(cluster.submit(0, "j-1")->status, 201);
    EXPECT_EQ(cluster.submit(1, "j-1")->status, 200);
    for (int node = 0; node < 3; ++node) EXPECT_EQ(cluster.poll(node, "j-1")->status, 200);
    EXPECT_EQ(cluster.poll(2, "j-404")->status, 404);
    EXPECT_EQ(cluster.cancel(2, "j-1")->status, 200);
    for (int node = 0; node < 3; ++node) {
        EXPECT_NE(cluster.poll(node, "j-1")->body.find("withdrawn"), std::string::npos);
        EXPECT_NE(cluster.submit(node, "j-1")->body.find("withdrawn"), std::string::npos);
    }
    int successful_responses = 0;
    for (int node = 0; node < 3; ++node)
        successful_responses += cluster.send_heartbeat(node, idle_heartbeat(1))->status == 200;
    EXPECT_EQ(successful_responses, 1);  // only the leader; the others redirect to it
}

// A leader loses the store and its peers, but not its workers. It starts no task, steps down soon after its
// lease expires, and does not lead again when the partition ends.
TEST(Controller, LeaderPartitionedAloneStepsDown) {
    ClusterSimulator cluster("leader_partitioned_alone", 3);
    cluster.run(5);
    const int old_leader = cluster.leader();
    const auto fencing_token = cluster.store.fencing_token();
    std::uint64_t sequence = 0;
    EXPECT_EQ(cluster.send_heartbeat(old_leader, idle_heartbeat(++sequence))->status, 200);
    EXPECT_EQ(cluster.submit((old_leader + 1) % 3, "j-1")->status, 201);
    cluster.note("partition c-" + std::to_string(old_leader) + " from the store and its peers");
    cluster.partitioned_from_store = cluster.partitioned_from_peers = {old_leader};
    double stepped_down_after = -1;
    const double partitioned_at = cluster.now();
    for (int i = 0; i < 30 && stepped_down_after < 0; ++i) {
        cluster.run(0.5);
        const auto response = cluster.send_heartbeat(old_leader, idle_heartbeat(++sequence, fencing_token));
        ASSERT_TRUE(response);
        EXPECT_EQ(response->body.find("start"), std::string::npos);
        if (response->status == 421) stepped_down_after = cluster.now() - partitioned_at;
    }
    cluster.note("heartbeat m-1 at c-" + std::to_string(old_leader) + ": 421");
    EXPECT_GT(stepped_down_after, 4.0);  // it waits, since the store may be down for the peers as well
    // Steps down before a cancellation that a peer confirms could take effect too late, which would be after
    // 26 s: cancel_s (66) less lease_s (36) less the margin of 4 s.
    EXPECT_LT(stepped_down_after, 12.0);
    cluster.run(5);
    const int new_leader = cluster.leader();
    EXPECT_NE(new_leader, old_leader);
    EXPECT_GT(cluster.store.fencing_token(), fencing_token);
    const auto response = cluster.send_heartbeat(new_leader, idle_heartbeat(++sequence, fencing_token));
    EXPECT_EQ(response->status, 200);
    const auto refused_response = cluster.poll(old_leader, "j-1");
    EXPECT_EQ(refused_response->status, 503);
    EXPECT_TRUE(refused_response->close);  // the user's retry reaches another controller
    EXPECT_GT(refused_response->retry_after_s, 0);
    cluster.note("partition ends");
    cluster.partitioned_from_store.clear(), cluster.partitioned_from_peers.clear();
    cluster.run(5);
    EXPECT_EQ(cluster.leader(), new_leader);
    EXPECT_EQ(
        cluster.send_heartbeat(old_leader, idle_heartbeat(++sequence, cluster.store.fencing_token()))->status,
        421);
    EXPECT_EQ(cluster.poll(old_leader, "j-1")->status, 200);
}

// During a store outage no other controller can become leader, so the leader keeps answering its workers.
TEST(Controller, LeaderAnswersWorkersDuringAStoreOutage) {
    ClusterSimulator cluster("store_outage", 3);
    cluster.run(5);
    const int leader = cluster.leader();
    std::uint64_t sequence = 0;
    cluster.note("outage    of the store");
    cluster.store_outage = true;
    for (int i = 0; i < 20; ++i) {
        cluster.run(1);
        EXPECT_EQ(cluster.send_heartbeat(leader, idle_heartbeat(++sequence, 1))->status, 200) << i;
    }
    const auto refused_response = cluster.submit(1, "j-1");
    EXPECT_EQ(refused_response->status, 503);
    EXPECT_GT(refused_response->retry_after_s, 0);
    EXPECT_EQ(cluster.request(1, "GET", "/up")->status, 200);  // no other controller would serve better
    cluster.note("outage    ends");
    cluster.store_outage = false;
    cluster.store.extend_leases(cluster.now());
    cluster.run(3);
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.submit(1, "j-1")->status, 201);
}

// A leader is paused while the commit of a placement and the response to a heartbeat are in flight; its clock
// runs on. When it resumes, the late commit is refused and the response carries no start.
TEST(Controller, PausedLeaderStartsNothing) {
    ClusterSimulator cluster("paused_leader", 3);
    cluster.run(5);
    const int old_leader = cluster.leader(), other = (old_leader + 1) % 3;
    const auto fencing_token = cluster.store.fencing_token();
    std::uint64_t sequence = 0;
    EXPECT_EQ(cluster.send_heartbeat(old_leader, idle_heartbeat(++sequence))->status, 200);
    cluster.run(1);
    const auto held_response =
        cluster.send_request(old_leader, "POST", "/checkin",
                             ClusterSimulator::heartbeat_body(idle_heartbeat(++sequence, fencing_token)));
    cluster.run(0.1);
    cluster.controllers_with_held_commits = {old_leader};
    EXPECT_EQ(cluster.submit(other, "j-1")->status, 201);
    // Waits until the commit of the placement is in flight.
    while (cluster.held_commits[old_leader].empty()) cluster.run(0.01);
    cluster.controllers_with_held_commits.clear();
    cluster.note("pause     of c-" + std::to_string(old_leader));
    cluster.paused = {old_leader};
    cluster.run(12);
    const int new_leader = cluster.leader();
    EXPECT_NE(new_leader, old_leader);
    EXPECT_FALSE(*held_response);
    // The worker finds the new leader, which places the job on its machine.
    const auto response_of_new_leader =
        cluster.send_heartbeat(new_leader, idle_heartbeat(++sequence, fencing_token));
    EXPECT_EQ(response_of_new_leader->status, 200);
    cluster.note("pause     ends");
    const auto& late_commit = cluster.held_commits[old_leader].front();
    EXPECT_EQ(
        cluster.store.handle_request(late_commit.method, late_commit.target, late_commit.body, cluster.now())
            .status,
        409);
    cluster.paused.clear();
    cluster.run(0.2);
    ASSERT_TRUE(*held_response);
    EXPECT_EQ((*held_response)->body.find("start"), std::string::npos);
    cluster.note("late      response of c-" + std::to_string(old_leader) +
                 " to m-1: " + std::to_string((*held_response)->status));
    const auto first_response =
        cluster.send_heartbeat(new_leader, idle_heartbeat(++sequence, cluster.store.fencing_token()));
    const auto second_response =
        cluster.send_heartbeat(new_leader, idle_heartbeat(++sequence, cluster.store.fencing_token()));
    EXPECT_EQ(
        cluster.send_heartbeat(old_leader, idle_heartbeat(sequence, cluster.store.fencing_token()))->status,
        421);
    const bool started = first_response->body.find("start") != std::string::npos ||
                         second_response->body.find("start") != std::string::npos;
    EXPECT_TRUE(started);
    cluster.run(3);
    EXPECT_EQ(cluster.poll(old_leader, "j-1")->status, 200);
}

// A candidate is paused after it requested its lease and before its election commit: the commit arrives late
// and names an expired lease.
TEST(Controller, PausedCandidateCannotWinWithAnExpiredLease) {
    ClusterSimulator cluster("paused_candidate", 3);
    cluster.run(5);
    const int first_leader = cluster.leader();
    const int candidate = (first_leader + 1) % 3, other_candidate = (first_leader + 2) % 3;
    cluster.note("end       of c-" + std::to_string(first_leader));
    cluster.kill(first_leader);
    const auto leases = cluster.store_request_counts["leases"];
    // Waits until one of the others requests a lease.
    while (cluster.store_request_counts["leases"] == leases) cluster.run(0.01);
    cluster.note("pause     of both others");
    cluster.paused = {candidate, other_candidate};
    cluster.run(20);
    EXPECT_EQ(cluster.store.leader(), "");
    cluster.paused = {other_candidate};
    cluster.note("pause     ends for c-" + std::to_string(candidate));
    cluster.run(6);
    EXPECT_EQ(cluster.leader(), candidate);
    const auto fencing_token = cluster.store.fencing_token();
    cluster.paused.clear();
    cluster.note("pause     ends for c-" + std::to_string(other_candidate));
    cluster.run(6);
    EXPECT_EQ(cluster.store.fencing_token(), fencing_token);
    EXPECT_EQ(cluster.send_heartbeat(candidate, idle_heartbeat(1))->status, 200);
    EXPECT_EQ(cluster.send_heartbeat(other_candidate, idle_heartbeat(1))->status, 421);
}

// Two candidates restart in the middle of an election. The election commit of an earlier process arrives late
// and wins a term for a process that no longer exists; the new process must not renew that lease as its own.
TEST(Controller, RestartedCandidateDoesNotUseAnEarlierLease) {
    ClusterSimulator cluster("restart_in_election", 3);
    cluster.run(5);
    const int first_leader = cluster.leader();
    const auto fencing_token = cluster.store.fencing_token();
    const int candidate = (first_leader + 1) % 3, other_candidate = (first_leader + 2) % 3;
    cluster.note("hold      the commits of c-" + std::to_string(candidate) + " and c-" +
                 std::to_string(other_candidate));
    cluster.controllers_with_held_commits = {candidate, other_candidate};
    cluster.note("end       of c-" + std::to_string(first_leader));
    cluster.kill(first_leader);
    while (cluster.held_commits[candidate].empty() || cluster.held_commits[other_candidate].empty())
        cluster.run(0.1);
    cluster.note("end       of the other two, restarted at once");
    cluster.controllers_with_held_commits.clear();
    cluster.kill(candidate), cluster.kill(other_candidate);
    for (const int node : {candidate, other_candidate})
        for (const auto& held_commit : cluster.held_commits[node]) {
            const int status =
                cluster.store
                    .handle_request(held_commit.method, held_commit.target, held_commit.body, cluster.now())
                    .status;
            cluster.note("late      commit of the earlier c-" + std::to_string(node) +
                         " arrives: " + std::to_string(status));
        }
    const auto token_of_ended_process = cluster.store.fencing_token();
    cluster.restart(candidate), cluster.restart(other_candidate);
    EXPECT_EQ(token_of_ended_process, fencing_token + 1);
    cluster.run(2);
    cluster.restart(first_leader);
    cluster.run(8);
    // The lease of the ended process was revoked, not used.
    EXPECT_GT(cluster.store.fencing_token(), token_of_ended_process);
    int leaders = 0;
    for (int node = 0; node < 3; ++node)
        leaders += cluster.send_heartbeat(node, idle_heartbeat(1))->status == 200;
    EXPECT_EQ(leaders, 1);
    EXPECT_EQ(cluster.submit(candidate, "j-1")->status, 201);
}

// All controllers share the request rate that the store allows. Each limits its reads for users to its share,
// the rate divided by the number of controllers.
TEST(Controller, ReadsStayWithinTheStoreRateLimit) {
    ClusterSimulator cluster("reads_paced", 5);
    cluster.run(5);
    EXPECT_EQ(cluster.submit(0, "j-1")->status, 201);
    cluster.store_request_counts.clear();
    const double started_at = cluster.now();
    for (int i = 0; i < 60; ++i)
        for (int node = 0; node < 5; ++node) EXPECT_EQ(cluster.poll(node, "j-1")->status, 200);
    int total = 0;
    for (const auto& [kind, n] : cluster.store_request_counts) total += n;
    EXPECT_LT(total / (cluster.now() - started_at), 70);  // the settings allow 100 requests/s
    // Lease renewals continue.
    EXPECT_GT(cluster.store_request_counts["leases"] / (cluster.now() - started_at), 0.5);
}

}  // namespace
}  // namespace pineroad::test
