// One-way partitions: machines whose heartbeats arrive while nothing reaches them.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

// A machine's heartbeats arrive, but it gets neither responses nor commands. The leader detects this by
// unacknowledged commands and places no more tasks there. Once the machine's own lease has ended its tasks,
// they are placed elsewhere and the machine is released.
TEST(OneWayPartition, InboundPartitionIsDetected) {
    StartedLeader simulator("inbound_partition", {"m-1"});
    simulator.add_worker("m-2");
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.note("          nothing reaches m-1 any more");
    simulator.submit(array_job("j-2", 2));
    simulator.plan_and_commit();
    simulator.synchronize_worker("m-2");
    for (int i = 0; i < 11; ++i) {
        simulator.send_heartbeat("m-1", true);  // the heartbeat arrives, its response is lost
        simulator.plan_and_commit();
        for (const auto& command : simulator.send_heartbeat("m-2"))
            EXPECT_NE(command.task.job, "j-1") << "may still run on m-1";
        simulator.advance(3);
    }
    EXPECT_EQ(simulator.starts, 3);  // both tasks of j-2 started on m-2
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
    simulator.expire_worker_lease("m-1");
    simulator.send_heartbeat("m-1", true);
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now), std::vector<std::string>{"m-1"});
    EXPECT_EQ(simulator.send_heartbeat("m-2").size(), 1U);
    EXPECT_EQ(simulator.starts, 4);
}

// Without responses, a machine's lease expires and a new agent epoch begins. A machine that still reports the
// same epoch after that time must have received responses, so it gets tasks again.
TEST(OneWayPartition, HealedMachineIsUsedAgain) {
    StartedLeader simulator("inbound_partition_healed", {"m-1"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.submit(array_job("j-2", 1));
    simulator.plan_and_commit();
    for (int i = 0; i < 3; ++i)
        simulator.send_heartbeat("m-1", true), simulator.advance(3), simulator.plan(), simulator.commit_all();
    EXPECT_EQ(simulator.starts, 1);
    for (int i = 0; i < 16; ++i)
        simulator.send_heartbeat("m-1"), simulator.advance(3), simulator.plan(), simulator.commit_all();
    simulator.send_heartbeat("m-1");
    EXPECT_EQ(simulator.starts, 2);
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
}

// If responses stop reaching many machines at once, the fault is taken to be the leader's, and no machine is
// released.
TEST(OneWayPartition, SimultaneousPartitionsReleaseNoMachine) {
    StartedLeader simulator("inbound_partition_of_many");
    std::vector<std::string> machines;
    for (int i = 1; i <= 8; ++i) {
        machines.push_back("m-" + std::to_string(i));
        simulator.add_worker(machines.back());
        simulator.synchronize_worker(machines.back());
    }
    simulator.submit(gang_job("j-1", 8));
    simulator.plan_and_commit();
    simulator.note("          no response reaches any machine");
    for (int i = 0; i < 3; ++i) {
        for (const auto& m : machines) simulator.send_heartbeat(m, true);
        simulator.advance(3);
        simulator.plan_and_commit();
    }
    for (const auto& m : machines) simulator.expire_worker_lease(m);
    for (const auto& m : machines) simulator.send_heartbeat(m, true);
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
}

// A machine that never reports this term's fencing token gets no commands, and its heartbeats prove nothing.
// It is released once its lease must have expired. If many machines behave like this, the fault is taken to
// be the leader's.
TEST(OneWayPartition, MachineNotReportingTheTokenIsReleased) {
    StartedLeader simulator("never_shows_token", {"m-1"});
    simulator.add_worker("m-2");
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.begin_term();
    simulator.synchronize_worker("m-2");
    for (int i = 0; i < 14; ++i) {
        simulator.send_heartbeat("m-1", true);
        simulator.send_heartbeat("m-2");
        simulator.plan_and_commit();
        EXPECT_EQ(simulator.starts, 1);
        EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now).empty(),
                  i * 3 <= simulator.config.worker_lease_s)
            << i;
        simulator.advance(3);
    }
    simulator.release_machines();
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.send_heartbeat("m-2").size(), 1U);
}

}  // namespace
}  // namespace pineroad::test
