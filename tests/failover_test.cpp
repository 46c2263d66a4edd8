// A new leader rebuilds its state from the store and from heartbeats. A task that it has no report of yet may
// still run.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

// A task that was placed in an earlier term may still run while its machine has sent no heartbeat in the new
// term. It is placed again only after proof that it has ended.
TEST(Failover, DoesNotRestartTasksThatMayStillRun) {
    StartedLeader simulator("failover_unknown_tasks", {"m-1"});
    simulator.add_worker("m-2");
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.note("          m-1 is partitioned; its task keeps running");
    simulator.begin_term();
    simulator.synchronize_worker("m-2");
    for (int i = 0; i < 4; ++i) {
        simulator.advance(3);
        simulator.plan_and_commit();
        EXPECT_TRUE(simulator.send_heartbeat("m-2").empty());
    }
    simulator.advance(10);
    simulator.send_heartbeat("m-2");
    simulator.plan();  // m-1 has been silent for long while m-2 reports
    simulator.release_machines();
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.send_heartbeat("m-2").size(), 1U);
    EXPECT_EQ(simulator.starts, 2);
}

// The next leader repeats a provisioning request that got no response, under the same name. The request is
// idempotent, so the machines are provisioned once, and it is not lost.
TEST(Failover, RepeatsAnUnansweredProvisioningRequest) {
    StartedLeader simulator("provisioning_across_failover");
    simulator.submit(gang_job("j-1", 1));
    simulator.plan_and_commit();
    const auto first = simulator.provision_machines();
    ASSERT_EQ(first.size(), 1U);
    simulator.begin_term();  // before the response was recorded
    simulator.plan_and_commit();
    const auto repeated = simulator.provision_machines();
    ASSERT_EQ(repeated.size(), 1U);
    EXPECT_EQ(repeated[0].name, first[0].name);
    simulator.submit(gang_job("j-2", 1));
    simulator.advance(2);
    simulator.plan_and_commit();
    for (const auto& request : simulator.provision_machines()) EXPECT_NE(request.name, first[0].name);
}

// A failover happens long after provisioning. Running machines that have sent no heartbeat in the new term
// yet must not be released for that reason. A machine that is still booting long after its provisioning is
// released.
TEST(Failover, ReleasesNoRunningMachine) {
    StartedLeader simulator("failover_keeps_machines", {"m-1"});
    simulator.advance(400);
    simulator.begin_term();
    simulator.leader_state().apply_machine_list(
        {{"m-1", "", "g4", "a", false, model::MachineStatus::running, 400},
         {"m-2", "", "g4", "a", false, model::MachineStatus::booting, 400}},
        simulator.now);
    simulator.plan();
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
    simulator.advance(2);
    simulator.synchronize_worker("m-1");
    simulator.advance(14);
    simulator.send_heartbeat("m-1");
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now), std::vector<std::string>{"m-2"});
    simulator.release_machines();
}

// A spot machine is reclaimed between two terms, so that its interruption notice never reaches the new
// leader. A machine with tasks of an earlier term is gone if the machine list lacks it once that list cannot
// be older than the term. Releasing it proves that its tasks have ended, without waiting for the machine to
// count as silent.
TEST(Failover, SpotMachineReclaimedBetweenTwoTermsIsReleased) {
    StartedLeader simulator("reclaimed_between_terms");
    simulator.add_worker("m-1", "g4", "a", true);
    simulator.add_worker("m-2");
    simulator.synchronize_worker("m-1");
    auto job = array_job("j-1", 1);
    job.allows_spot = true;
    simulator.run_job(job, "m-1");
    simulator.note("          m-1 is reclaimed");
    simulator.begin_term();
    simulator.synchronize_worker("m-2");
    simulator.run_job(array_job("j-2", 1), "m-2");
    const std::vector<model::ListedMachine> list{
        {"m-2", "", "g4", "a", false, model::MachineStatus::running, 400}};
    for (int i = 0; i < 5; ++i) {
        simulator.leader_state().apply_machine_list(list, simulator.now);
        simulator.plan();
        EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty())
            << "the list may be as old as twice its lag";
        simulator.advance(3);
        simulator.send_heartbeat("m-2");
    }
    simulator.advance(1);
    simulator.leader_state().apply_machine_list(list, simulator.now);
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now), std::vector<std::string>{"m-1"});
    simulator.release_machines();
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.send_heartbeat("m-2").size(), 1U);
}

}  // namespace
}  // namespace pineroad::test
