// Two faults at the same time, with whole controllers, a store and workers in simulated time. The invariant
// checker verifies ran_twice, ran_cancelled and went_back at every step; the tests here check the rest.
// docs/safety.md has a table that assigns these tests to the operators' list of faults.
#include <gtest/gtest.h>

#include "cluster_simulator.hpp"
#include "named_case.hpp"

namespace pineroad::test {
namespace {

// Three controllers, the machines that they provision, and long-running jobs of one task each.
class CombinedFaultsCluster : public ClusterSimulator {
   public:
    explicit CombinedFaultsCluster(const std::string& trace, int controllers = 3)
        : ClusterSimulator(trace, controllers) {
        workers.cloud_capacity = 6;
        run(5);
    }
    // Submits the jobs and waits until all of them run.
    void start_jobs(const std::vector<std::string>& jobs) {
        for (const auto& id : jobs) EXPECT_EQ(submit(0, id)->status, 201);
        for (int i = 0; i < 60 && workers.executing_task_count() < jobs.size(); ++i) run(1);
        EXPECT_EQ(workers.executing_task_count(), jobs.size());
        old_leader = leader();
        follower = (old_leader + 1) % 3;
        other_follower = (old_leader + 2) % 3;
    }
    void begin_store_outage() {
        note("outage    of the store");
        store_outage = true;
    }
    void end_store_outage() {
        note("outage    ends");
        store_outage = false;
        rejected_by_store.clear();
        store.extend_leases(now());
    }
    // Returns the seconds until no task of the job is left on any machine; the test fails after timeout_s.
    double seconds_until_stopped(const std::string& job, double timeout_s) {
        const double start_s = now();
        while (workers.has_live_task_of(job) && now() < start_s + timeout_s) run(0.5);
        EXPECT_FALSE(workers.has_live_task_of(job)) << job;
        note("stopped   " + job);
        return now() - start_s;
    }
    // Waits up to 75 s for each controller to report a status of the job, and checks that it is this one. For
    // use when all faults have ended.
    void expect_status_everywhere(const std::string& job, const std::string& status) {
        for (int n = 0; n < controllers(); ++n) {
            const double start_s = now();
            auto response = poll(n, job);
            while ((!response || response->status != 200) && now() < start_s + 75) {
                run(5);
                response = poll(n, job);
            }
            ASSERT_TRUE(response);
            EXPECT_NE(response->body.find(status), std::string::npos) << response->body;
        }
    }
    int old_leader = -1;  // leader when the jobs began to run
    int follower = -1, other_follower = -1;
};

// A fault of a machine, and how long it lasts.
struct MachineFaultCase {
    std::string name, trace_name, fault_note;
    MachineFault fault;
    double duration_s = 0;
    friend std::ostream& operator<<(std::ostream& out, const MachineFaultCase& c) { return out << c.name; }
};

// Returns two cases for each kind of machine fault, a short and a long one.
std::vector<MachineFaultCase> machine_faults(const std::string& trace, double short_s, double long_s) {
    struct Fault {
        std::string name, trace, fault_note;
        MachineFault fault;
    };
    const std::vector<Fault> faults{
        {"Hung", "hung", "fault     hang", {true, false, false}},
        {"InboundPartition", "inbound_partition", "fault     inbound partition", {false, true, false}},
        {"OutboundPartition", "outbound_partition", "fault     outbound partition", {false, false, true}}};
    std::vector<MachineFaultCase> cases;
    for (const auto& each : faults) {
        const auto trace_name = trace + "_" + each.trace;
        cases.push_back({each.name, trace_name, each.fault_note, each.fault, short_s});
        cases.push_back({each.name + "Long", trace_name + "_long", each.fault_note, each.fault, long_s});
    }
    return cases;
}

// The store first rejects only the leader and then fails for all. The leader keeps its workers through the
// outage. It must still stop tasks whose cancellation another controller confirmed before the outage, within
// 8 s: its peers pass on every cancellation that they confirmed to a user. Other tasks keep running.
TEST(CombinedFaults, CancellationsConfirmedByPeersTakeEffectInStoreOutage) {
    CombinedFaultsCluster cluster("cancelled_before_outage");
    cluster.start_jobs({"j-1", "j-2", "j-3"});
    cluster.note("reject    c-" + std::to_string(cluster.old_leader));
    cluster.rejected_by_store = {cluster.old_leader};
    cluster.run(0.5);
    // The leader knows of the cancellation before the user gets the confirmation, so no task starts after a
    // confirmed cancellation.
    const auto stops_before = cluster.workers.stops;
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.run(0.55);  // time for one planning round; peers exchange messages only once per second
    EXPECT_GT(cluster.workers.stops, stops_before);
    cluster.run(0.45);
    EXPECT_EQ(cluster.cancel(cluster.other_follower, "j-2")->status, 200);
    cluster.begin_store_outage();
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 10), 8);
    EXPECT_LT(cluster.seconds_until_stopped("j-2", 10), 8);
    cluster.run(78);
    EXPECT_EQ(cluster.workers.tasks_killed_by_lease_expiry, 0);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-3"));
    cluster.end_store_outage();
    cluster.run(10);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-3"));
    EXPECT_EQ(cluster.workers.starts, 3);
    cluster.expect_status_everywhere("j-1", "withdrawn");
    cluster.expect_status_everywhere("j-3", "running");
}

// A controller that confirms a cancellation must make it known to its peers, no matter which controller
// committed it and which request it responds to. Here the response to the commit is lost, an outage begins,
// and another controller confirms the cancellation from memory.
class CancellationConfirmedFromMemory : public ::testing::TestWithParam<NamedCase<bool>> {};

TEST_P(CancellationConfirmedFromMemory, StopsTaskDuringStoreOutage) {
    const bool by_submission = GetParam().value;
    CombinedFaultsCluster cluster(by_submission ? "confirmed_by_submission" : "confirmed_by_poll");
    cluster.start_jobs({"j-1", "j-2"});
    cluster.rejected_by_store = {cluster.old_leader};
    cluster.lost_commit_responses = {cluster.follower};
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 503);  // applied, but not confirmed
    cluster.begin_store_outage();
    cluster.run(1);
    const auto response = by_submission ? cluster.submit(cluster.other_follower, "j-1")
                                        : cluster.poll(cluster.other_follower, "j-1");
    EXPECT_NE(response->body.find("withdrawn"), std::string::npos);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 70), 8);
    cluster.run(70);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    EXPECT_EQ(cluster.workers.tasks_killed_by_lease_expiry, 0);
    cluster.end_store_outage();
    cluster.run(5);
    cluster.expect_status_everywhere("j-1", "withdrawn");
}

INSTANTIATE_TEST_SUITE_P(By, CancellationConfirmedFromMemory,
                         ::testing::Values(NamedCase<bool>{"Poll", false},
                                           NamedCase<bool>{"Submission", true}),
                         case_name<NamedCase<bool>>);

// A controller confirms a cancellation and crashes at once. It restarts during a store outage, within a
// second or much later, without any memory of the cancellation. The leader cannot prove that it knows all
// confirmed cancellations, so the task must stop when its worker's lease expires.
class ConfirmingControllerCrash : public ::testing::TestWithParam<NamedCase<double>> {};

TEST_P(ConfirmingControllerCrash, CancelledTaskStopsAtLeaseExpiry) {
    const double downtime_s = GetParam().value;
    CombinedFaultsCluster cluster("confirming_controller_ends_" +
                                  std::to_string(static_cast<int>(downtime_s * 10)));
    cluster.start_jobs({"j-1", "j-2"});
    cluster.rejected_by_store = {cluster.old_leader};
    cluster.run(0.95);
    // No message reaches a peer between the response and the crash.
    cluster.partitioned_from_peers = {cluster.follower};
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.kill(cluster.follower);
    cluster.note("end       of c-" + std::to_string(cluster.follower));
    cluster.begin_store_outage();
    cluster.partitioned_from_peers.clear();
    cluster.run(downtime_s);
    cluster.restart(cluster.follower);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 80), 65);
    cluster.run(20);
    cluster.end_store_outage();
    cluster.run(10);
    cluster.expect_status_everywhere("j-1", "withdrawn");
    cluster.run(60);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));  // restarted if its lease expired
}

INSTANTIATE_TEST_SUITE_P(Restart, ConfirmingControllerCrash,
                         ::testing::Values(NamedCase<double>{"AtOnce", 0.2},
                                           NamedCase<double>{"SoonAfter", 3.0},
                                           NamedCase<double>{"MuchLater", 100.0}),
                         case_name<NamedCase<double>>);

// A controller is paused between its commit and its response. It confirms the cancellation only when it
// resumes, and its peers learn of the cancellation at that time.
TEST(CombinedFaults, CancellationTakesEffectAfterPauseBetweenCommitAndResponse) {
    CombinedFaultsCluster cluster("confirming_controller_paused");
    cluster.start_jobs({"j-1", "j-2"});
    cluster.rejected_by_store = {cluster.old_leader};
    const auto pending_response = cluster.send_request(cluster.follower, "POST", "/submissions/j-1/cancel");
    const auto commits_before = cluster.store_request_counts["commit"];
    while (cluster.store_request_counts["commit"] == commits_before) cluster.run(0.005);
    cluster.run(0.01);
    cluster.note("pause     of c-" + std::to_string(cluster.follower));
    cluster.paused = {cluster.follower};
    cluster.begin_store_outage();
    cluster.run(10);
    cluster.paused.clear();
    cluster.note("pause     ends");
    cluster.run(0.1);
    ASSERT_TRUE(*pending_response);
    if ((*pending_response)->status == 200)
        cluster.workers.invariants.record_confirmed_status("j-1", "withdrawn", cluster.now());
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 70), 66);
    cluster.end_store_outage();
    cluster.run(10);
    cluster.expect_status_everywhere("j-1", "withdrawn");
}

// The leader is cut off from the store and its peers, but not from its workers and users. Cancellations take
// effect through the new leader, no task starts twice, and the old leader's workers find the new leader
// before their leases expire.
TEST(CombinedFaults, LeaderPartitionedFromStoreAndPeersIsReplaced) {
    CombinedFaultsCluster cluster("partitioned_but_for_workers");
    cluster.start_jobs({"j-1", "j-2"});
    cluster.note("partition c-" + std::to_string(cluster.old_leader) + " from the store and its peers");
    cluster.partitioned_from_store = cluster.partitioned_from_peers = {cluster.old_leader};
    cluster.run(1);
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.run(6);
    EXPECT_EQ(cluster.submit(cluster.other_follower, "j-4")->status, 201);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 70), 30);
    EXPECT_NE(cluster.leader(), cluster.old_leader);
    cluster.run(60);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-4"));
    EXPECT_EQ(cluster.workers.tasks_killed_by_lease_expiry, 0);
    cluster.note("partition ends");
    cluster.partitioned_from_store.clear(), cluster.partitioned_from_peers.clear();
    cluster.run(5);
    cluster.expect_status_everywhere("j-1", "withdrawn");
    cluster.expect_status_everywhere("j-2", "running");
    EXPECT_EQ(cluster.workers.starts, 3);
}

// A job is cancelled while its machine hangs or has a one-way partition, inbound or outbound, and the machine
// recovers later. Its lease expiry or its next heartbeat response stops the task. The store first rejects
// only the leader and then fails for all.
class StopOnFaultyMachine : public ::testing::TestWithParam<MachineFaultCase> {};

TEST_P(StopOnFaultyMachine, TakesEffectInTime) {
    const auto& [name, trace_name, fault_note, fault, duration_s] = GetParam();
    CombinedFaultsCluster cluster(trace_name);
    cluster.start_jobs({"j-1", "j-2"});
    cluster.rejected_by_store = {cluster.old_leader};
    const auto machine = cluster.workers.machine_with_task_of("j-1").id;
    EXPECT_EQ(cluster.workers.machine_with_task_of("j-2").id, machine);
    cluster.note(fault_note + " of " + machine);
    cluster.workers.machines.at(machine).fault = fault;
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.begin_store_outage();
    cluster.run(duration_s);
    cluster.note("fault     ends");
    if (cluster.workers.machines.contains(machine)) cluster.workers.machines.at(machine).fault = {};
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 70), 8);
    cluster.run(20);
    EXPECT_EQ(cluster.workers.has_live_task_of("j-2"),
              duration_s < 10);  // in the long cases its lease expired
    cluster.end_store_outage();
    cluster.run(5);
    cluster.expect_status_everywhere("j-1", "withdrawn");
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

INSTANTIATE_TEST_SUITE_P(Fault, StopOnFaultyMachine, ::testing::ValuesIn(machine_faults("stop", 8, 50)),
                         case_name<MachineFaultCase>);

// During a store outage the leader learns of a cancellation from a peer after its own lease has expired, and
// the machine cannot reach any controller. The leader still sends the stop as a direct command, because a
// stop needs no lease.
TEST(CombinedFaults, StopsAreSentWithoutLeaderLease) {
    CombinedFaultsCluster cluster("stops_need_no_lease");
    cluster.start_jobs({"j-1", "j-2"});
    cluster.rejected_by_store = {cluster.old_leader};
    cluster.partitioned_from_peers = {cluster.old_leader};
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.begin_store_outage();
    cluster.run(6);
    cluster.workers.machine_with_task_of("j-1").fault.outbound_partition = true;
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-1"));
    cluster.note("partition from the peers ends");
    cluster.partitioned_from_peers.clear();
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 70), 5);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    cluster.end_store_outage();
}

// The leader crashes while a machine hangs or has a one-way partition, and a job on that machine is
// cancelled. Tasks that may still run there are not started elsewhere, and the cancelled task stops in time.
class LeaderCrashWithFaultyMachine : public ::testing::TestWithParam<MachineFaultCase> {};

TEST_P(LeaderCrashWithFaultyMachine, NoTaskRunsTwice) {
    const auto& [name, trace_name, fault_note, fault, duration_s] = GetParam();
    CombinedFaultsCluster cluster(trace_name);
    cluster.start_jobs({"j-1", "j-2", "j-3"});
    const auto machine = cluster.workers.machine_with_task_of("j-1").id;
    cluster.workers.machines.at(machine).fault = fault;
    cluster.note(fault_note + " of " + machine);
    cluster.run(1);
    cluster.kill(cluster.old_leader);
    cluster.note("end       of c-" + std::to_string(cluster.old_leader));
    cluster.run(8);
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.run(duration_s - 8);
    if (cluster.workers.machines.contains(machine)) cluster.workers.machines.at(machine).fault = {};
    cluster.note("fault     ends");
    cluster.restart(cluster.old_leader);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 70), 45);
    cluster.run(60);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-3"));
    cluster.expect_status_everywhere("j-1", "withdrawn");
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

INSTANTIATE_TEST_SUITE_P(Fault, LeaderCrashWithFaultyMachine,
                         ::testing::ValuesIn(machine_faults("leader_ends", 20, 45)),
                         case_name<MachineFaultCase>);

// A cancellation, a status request and a repeated submission race with the exit of a job's last task.
// Whichever is committed first holds; the invariant checker detects a status that is later revoked
// (went_back) or confirmed too early (not_done).
TEST(CombinedFaults, RequestsRacingWithLastTaskExitStayConsistent) {
    CombinedFaultsCluster cluster("requests_at_last_task_end");
    std::vector<std::string> jobs;
    for (int i = 1; i <= 6; ++i) {
        jobs.push_back("j-" + std::to_string(i));
        cluster.workers.task_run_s[jobs.back() + "/0"] = 20;
        EXPECT_EQ(cluster.submit(0, jobs.back())->status, 201);
    }
    cluster.run_until_first_task_ends(jobs.size());
    // Pauses that grow by 0.05 s spread the requests around the heartbeats and commits that report the exits.
    for (int n = 0; const auto& id : jobs) {
        const auto response = cluster.cancel(n % 3, id);
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(cluster.submit((n + 1) % 3, id)->status, 200);
        EXPECT_EQ(cluster.poll((n + 2) % 3, id)->status, 200);
        cluster.run(0.05 * ++n);
    }
    cluster.run(10);
    for (const auto& id : jobs)
        for (int n = 0; n < 3; ++n) EXPECT_EQ(cluster.cancel(n, id)->status, 200);
}

// The leader crashes ten times in two minutes and restarts 0.3 s or 3 s after each crash. In the case
// WithOutages some of the crashes happen during a store outage.
class TenFailoversInTwoMinutes : public ::testing::TestWithParam<NamedCase<bool>> {};

TEST_P(TenFailoversInTwoMinutes, KeepTasksAndCancellation) {
    const bool outages = GetParam().value;
    CombinedFaultsCluster cluster(outages ? "ten_leaders_outages" : "ten_leaders");
    cluster.start_jobs({"j-1", "j-2", "j-3"});
    for (int i = 0; i < 10; ++i) {
        const int leader_index = cluster.leader();
        if (outages && i % 3 == 1) {
            cluster.begin_store_outage();
            cluster.run(2);
        }
        if (leader_index >= 0) cluster.kill(leader_index);
        cluster.run(i % 2 == 0 ? 0.3 : 3);
        if (leader_index >= 0) cluster.restart(leader_index);
        if (i == 4) cluster.cancel((leader_index + 1) % 3, "j-1");
        cluster.run(5);
        if (cluster.store_outage) cluster.end_store_outage();
        cluster.run(3);
    }
    EXPECT_EQ(cluster.cancel(0, "j-1")->status, 200);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 60), 30);
    cluster.run(60);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-3"));
    cluster.expect_status_everywhere("j-1", "withdrawn");
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

INSTANTIATE_TEST_SUITE_P(Store, TenFailoversInTwoMinutes,
                         ::testing::Values(NamedCase<bool>{"Available", false},
                                           NamedCase<bool>{"WithOutages", true}),
                         case_name<NamedCase<bool>>);

// A team has reached its quota when the leader crashes and one of the team's machines hangs, and the job
// there is cancelled. Tasks that may still run on that machine count towards the quota until they are proven
// to have ended.
TEST(CombinedFaults, QuotaHoldsAcrossAFailover) {
    CombinedFaultsCluster cluster("quota_across_failover");
    const boost::json::object capped{{"Crew", "capped"}};
    for (const auto* id : {"j-1", "j-2", "j-3", "j-4"}) EXPECT_EQ(cluster.submit(0, id, capped)->status, 201);
    cluster.run(15);
    EXPECT_EQ(cluster.workers.executing_task_count(), 2U);
    const std::string running = cluster.workers.has_live_task_of("j-1") ? "j-1" : "j-2";
    const auto machine = cluster.workers.machine_with_task_of(running).id;
    cluster.workers.machines.at(machine).fault.hung = true;
    cluster.kill(cluster.leader());
    cluster.run(7);
    EXPECT_EQ(cluster.cancel(cluster.leader(), running)->status, 200);
    cluster.run(25);
    if (cluster.workers.machines.contains(machine)) cluster.workers.machines.at(machine).fault.hung = false;
    cluster.run(60);
    EXPECT_EQ(cluster.workers.executing_task_count(), 2U);
    EXPECT_FALSE(cluster.workers.has_live_task_of(running));
}

// A duplicate of every heartbeat arrives later, by a few seconds up to well over the length of a lease. Some
// belong to an earlier term, agent epoch or attempt.
class DuplicatedHeartbeats : public ::testing::TestWithParam<NamedCase<double>> {};

TEST_P(DuplicatedHeartbeats, AreIgnoredByNewLeader) {
    const double delay_s = GetParam().value;
    CombinedFaultsCluster cluster("duplicated_heartbeats_" + std::to_string(static_cast<int>(delay_s)));
    cluster.workers.duplicate_heartbeats_after_s = delay_s;
    cluster.start_jobs({"j-1", "j-2"});
    const auto machine = cluster.workers.machine_with_task_of("j-1").id;
    cluster.workers.machines.at(machine).fault.hung = true;
    cluster.run(2);
    cluster.kill(cluster.old_leader);
    cluster.run(40);  // the lease expires, which ends the agent epoch
    if (cluster.workers.machines.contains(machine)) cluster.workers.machines.at(machine).fault.hung = false;
    cluster.restart(cluster.old_leader);
    cluster.run(20);
    EXPECT_EQ(cluster.cancel(0, "j-1")->status, 200);
    cluster.run(delay_s + 20);
    EXPECT_FALSE(cluster.workers.has_live_task_of("j-1"));
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
}

INSTANTIATE_TEST_SUITE_P(After, DuplicatedHeartbeats,
                         ::testing::Values(NamedCase<double>{"Seconds", 4.0},
                                           NamedCase<double>{"HalfALease", 20.0},
                                           NamedCase<double>{"OverALease", 60.0}),
                         case_name<NamedCase<double>>);

// Heartbeats are held back across a failover and reach the new leader after it has already acted.
TEST(CombinedFaults, HeartbeatsDelayedAcrossFailoverRestartNoCancelledTask) {
    CombinedFaultsCluster cluster("held_heartbeats");
    cluster.start_jobs({"j-1", "j-2"});
    cluster.workers.hold_heartbeats = true;
    cluster.run(3);
    cluster.kill(cluster.old_leader);
    cluster.run(8);
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    cluster.run(45);
    cluster.note("heartbeats arrive");
    cluster.workers.hold_heartbeats = false;
    cluster.run(60);
    EXPECT_FALSE(cluster.workers.has_live_task_of("j-1"));
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

// Transactions get no response and are applied late, after newer ones of the same controller.
class DelayedTransactions : public ::testing::TestWithParam<NamedCase<double>> {};

TEST_P(DelayedTransactions, DoNotRevertNewerState) {
    const double delay_s = GetParam().value;
    CombinedFaultsCluster cluster("delayed_writes_" + std::to_string(static_cast<int>(delay_s)));
    cluster.start_jobs({"j-1", "j-2"});
    cluster.write_delay_s = delay_s;
    cluster.note("writes    are delayed");
    cluster.submit(0, "j-3");
    cluster.cancel(1, "j-1");
    cluster.submit(2, "j-3");
    cluster.cancel(2, "j-1");
    cluster.run(3);
    cluster.write_delay_s = 0;
    cluster.note("writes    are answered");
    EXPECT_TRUE(cluster.submit(0, "j-3")->status / 100 == 2);
    EXPECT_EQ(cluster.cancel(0, "j-1")->status, 200);
    cluster.run(40);
    cluster.expect_status_everywhere("j-1", "withdrawn");
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-3"));
    EXPECT_FALSE(cluster.workers.has_live_task_of("j-1"));
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

INSTANTIATE_TEST_SUITE_P(By, DelayedTransactions,
                         ::testing::Values(NamedCase<double>{"Seconds", 2.5},
                                           NamedCase<double>{"ManySeconds", 8.0}),
                         case_name<NamedCase<double>>);

// All controllers crash just after a cancellation and stay down for a moment or for longer than a lease. One
// of them restarts before the others.
class AllControllersDown : public ::testing::TestWithParam<NamedCase<double>> {};

TEST_P(AllControllersDown, CancellationSurvivesRestart) {
    const double downtime_s = GetParam().value;
    CombinedFaultsCluster cluster(downtime_s < 1 ? "all_controllers_down_a_moment" : "all_controllers_down");
    cluster.start_jobs({"j-1", "j-2"});
    EXPECT_EQ(cluster.cancel(cluster.follower, "j-1")->status, 200);
    for (int n = 0; n < 3; ++n) cluster.kill(n);
    cluster.run(downtime_s);
    cluster.restart(cluster.other_follower);
    cluster.run(10);
    cluster.restart(cluster.old_leader), cluster.restart(cluster.follower);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 60), 30);
    cluster.run(60);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    cluster.expect_status_everywhere("j-1", "withdrawn");
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

INSTANTIATE_TEST_SUITE_P(For, AllControllersDown,
                         ::testing::Values(NamedCase<double>{"AMoment", 0.5},
                                           NamedCase<double>{"LongerThanALease", 50.0}),
                         case_name<NamedCase<double>>);

// The tasks of a job exit far apart, with failovers between the exits.
TEST(CombinedFaults, TasksFinishingUnderDifferentLeadersCompleteTheJob) {
    CombinedFaultsCluster cluster("ends_far_apart");
    cluster.workers.task_run_s = {{"j-1/0", 5}, {"j-1/1", 35}, {"j-1/2", 75}};
    EXPECT_EQ(cluster.submit(0, "j-1", {{"Pieces", 3}})->status, 201);
    for (int i = 0; i < 24; ++i) {
        cluster.run(5);
        if (i == 4 || i == 10) {
            const int leader_index = cluster.leader();
            cluster.kill(leader_index);
            cluster.run(0.5);
            cluster.restart(leader_index);
            cluster.run(3);
        }
        cluster.poll(i % 3, "j-1");
    }
    EXPECT_NE(cluster.poll(0, "j-1")->body.find("done"), std::string::npos);
    EXPECT_EQ(cluster.workers.starts, 3);
}

// A zone with the leader and some workers is partitioned for longer than a lease, and a job there is
// cancelled. During the partition a job that is bound to the other zone loses a machine.
TEST(CombinedFaults, ZonePartitionedWithTheLeader) {
    CombinedFaultsCluster cluster("zone_partitioned");
    cluster.workers.task_run_s = {{"j-3/0", 90}, {"j-3/1", 90}, {"j-3/2", 90}};
    for (const auto* id : {"j-1", "j-2"}) EXPECT_EQ(cluster.submit(0, id, {{"Yard", "a"}})->status, 201);
    EXPECT_EQ(cluster.submit(0, "j-3", {{"Yard", "b"}, {"Pieces", 3}})->status, 201);
    cluster.run(20);
    EXPECT_EQ(cluster.workers.executing_task_count(), 5U);
    const int leader_index = cluster.leader();
    cluster.partitioned_from_store = cluster.partitioned_from_peers = {leader_index};
    cluster.workers.partitioned_zone = "a", cluster.workers.partitioned_zone_controller = leader_index;
    cluster.note("partition isolates zone a and c-" + std::to_string(leader_index));
    cluster.run(2);
    EXPECT_EQ(cluster.cancel((leader_index + 1) % 3, "j-1")->status, 200);
    cluster.workers.machines.erase(cluster.workers.machine_with_task_of("j-3").id);
    cluster.run(60);
    EXPECT_FALSE(cluster.workers.has_live_task_of("j-1"));
    cluster.partitioned_from_store.clear(), cluster.partitioned_from_peers.clear(),
        cluster.workers.partitioned_zone.clear();
    cluster.note("partition ends");
    cluster.run(60);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-2"));
    cluster.run(60);
    cluster.expect_status_everywhere("j-1", "withdrawn");
    cluster.expect_status_everywhere("j-3", "done");
}

// The store is slow, then rejects only the leader, and then fails for all for longer than cancel_s, while
// users cancel jobs and ask for their status.
TEST(CombinedFaults, StoreSlowThenRejectingLeaderThenUnavailable) {
    CombinedFaultsCluster cluster("store_slow_then_out");
    cluster.start_jobs({"j-1", "j-2", "j-3"});
    // Lease renewals are delayed like all requests. A slow store ends no term, and new jobs still start.
    cluster.store_delay_s = 1.2;
    cluster.run(20);
    EXPECT_EQ(cluster.leader(), cluster.old_leader);
    EXPECT_EQ(cluster.submit(cluster.follower, "j-4")->status, 201);
    cluster.run(25);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-4"));
    cluster.store_delay_s = 0.7;
    cluster.cancel(cluster.old_leader, "j-1");
    cluster.rejected_by_store = {cluster.old_leader};
    cluster.run(1);
    cluster.cancel(cluster.follower, "j-2");
    cluster.poll(cluster.other_follower, "j-2");
    cluster.store_delay_s = 0;
    cluster.begin_store_outage();
    for (int i = 0; i < 14; ++i) {
        cluster.run(5);
        const auto response = cluster.poll(i % 3, i % 2 == 0 ? "j-1" : "j-2");
        EXPECT_TRUE(response->status == 200 || (response->status == 503 && response->retry_after_s > 0))
            << response->status;
    }
    cluster.end_store_outage();
    cluster.run(5);
    EXPECT_EQ(cluster.cancel(0, "j-1")->status, 200);
    EXPECT_EQ(cluster.cancel(0, "j-2")->status, 200);
    EXPECT_LT(cluster.seconds_until_stopped("j-1", 20), 10);
    EXPECT_LT(cluster.seconds_until_stopped("j-2", 20), 10);
    cluster.run(40);
    EXPECT_TRUE(cluster.workers.has_live_task_of("j-3"));
    EXPECT_EQ(cluster.workers.starts_after_confirmed_cancellation, 0);
}

// There are more jobs, of high and low priority, than the machines can run at once, and a machine is lost
// together with the leader. Afterwards no job may wait while a machine that fits it has free capacity.
TEST(CombinedFaults, AllJobsFinishAfterOverloadAndLeaderCrash) {
    CombinedFaultsCluster cluster("more_than_room");
    cluster.workers.cloud_capacity = 3;
    cluster.workers.default_task_run_s = 15;
    for (int i = 1; i <= 24; ++i)
        EXPECT_EQ(
            cluster
                .submit(i % 3, "j-" + std::to_string(i), {{"Urgency", i % 4 == 0 ? "high" : "best_effort"}})
                ->status,
            201);
    cluster.run(15);
    cluster.workers.machines.erase(cluster.workers.machines.begin());
    const int leader_index = cluster.leader();
    cluster.kill(leader_index);
    cluster.run(0.4);
    cluster.restart(leader_index);
    cluster.run(200);
    for (int i = 1; i <= 24; ++i)
        EXPECT_NE(cluster.poll(0, "j-" + std::to_string(i))->body.find("done"), std::string::npos) << i;
}

// An invalid request is rejected at once, also during a store outage. A request that cannot be decided
// without the store gets 503. A repeated request about a finished job gets the job's status.
TEST(CombinedFaults, InvalidRequestsDuringAStoreOutage) {
    CombinedFaultsCluster cluster("invalid_requests");
    cluster.workers.task_run_s["j-1/0"] = 5;
    cluster.start_jobs({"j-1", "j-2"});
    cluster.run(15);
    for (const bool during_outage : {false, true}) {
        if (during_outage) cluster.begin_store_outage();
        cluster.run(5);
        const double start_s = cluster.now();
        EXPECT_EQ(cluster.request(0, "POST", "/submissions", R"({"NameId":"j-9"})")->status, 400);
        EXPECT_EQ(cluster.submit(0, "j-9", {{"Pieces", 0}})->status, 400);
        EXPECT_EQ(cluster.submit(0, "j-9", {{"Spread", nullptr}})->status, 400);
        EXPECT_LT(cluster.now(), start_s + 0.1);
        EXPECT_EQ(cluster.submit(0, "j-9", {{"Vcpus", 500}})->status, during_outage ? 503 : 422);
        EXPECT_EQ(cluster.submit(0, "j-9", {{"Crew", "nobody"}})->status, during_outage ? 503 : 422);
        EXPECT_EQ(cluster.submit(1, "j-9", {{"Crew", "capped"}, {"Accelerators", 3}})->status,
                  during_outage ? 503 : 422);
        EXPECT_LT(cluster.now(), start_s + 5);
        // Every controller knows from before the outage that j-1 is done.
        for (int n = 0; n < 3; ++n) {
            EXPECT_NE(cluster.cancel(n, "j-1")->body.find("done"), std::string::npos);
            EXPECT_NE(cluster.submit(n, "j-1")->body.find("done"), std::string::npos);
            EXPECT_EQ(cluster.submit(n, "j-2")->status, during_outage ? 503 : 200);
        }
    }
    cluster.end_store_outage();
    cluster.run(3);
    EXPECT_EQ(cluster.poll(0, "j-9")->status, 404);
    cluster.expect_status_everywhere("j-2", "running");
}

}  // namespace
}  // namespace pineroad::test
