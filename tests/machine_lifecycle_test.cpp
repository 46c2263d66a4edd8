// Provisioning, failure detection, quarantine, spot reclamation and release of machines.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;

// The response to a release proves that the machine is gone. A heartbeat delayed by the network must not
// register the machine again.
TEST(MachineLifecycle, LateHeartbeatDoesNotRegisterAReleasedMachine) {
    StartedLeader simulator("released_stays_gone", {"m-1", "m-2"});
    simulator.run_job(gang_job("j-1", 1), "m-1");
    const auto held_heartbeat = simulator.next_heartbeat(simulator.workers.at("m-1"));
    for (int i = 0; i < 5; ++i) simulator.advance(3), simulator.send_heartbeat("m-2");
    simulator.plan();
    simulator.release_machines();
    simulator.note("heartbeat of m-1, held back, arrives");
    EXPECT_FALSE(simulator.leader_state().apply_heartbeat(held_heartbeat, simulator.now));
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.send_heartbeat("m-2").size(), 1U);
}

// After an interruption notice, tasks write their checkpoints and the machine gets no new tasks.
TEST(MachineLifecycle, SpotNoticeCheckpointsTasks) {
    StartedLeader simulator("spot_notice");
    simulator.add_worker("m-1", "g4", "a", true);
    simulator.synchronize_worker("m-1");
    auto job = array_job("j-1", 1);
    job.allows_spot = true;
    simulator.run_job(job, "m-1");
    simulator.workers.at("m-1").interruption_notice_s = 8;
    simulator.send_heartbeat("m-1");
    EXPECT_EQ(simulator.workers.at("m-1").tasks[0].state, TaskState::checkpointing);
    simulator.submit(array_job("j-2", 1));
    simulator.plan_and_commit();
    EXPECT_EQ(simulator.starts, 1);  // no new task on a machine about to be interrupted
}

// Failures of two jobs on one machine are evidence against the machine.
TEST(MachineLifecycle, FaultyMachineIsReleased) {
    StartedLeader simulator("faulty_machine", {"m-1"});
    simulator.submit(array_job("j-1", 1));
    simulator.run_job(array_job("j-2", 1), "m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::error);
    simulator.set_task_state("j-2/0", TaskState::exited, ExitCause::error);
    simulator.send_heartbeat("m-1");
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now).size(), 1U);
}

// Failures of one job on several machines are evidence against the job: the machines are kept, and the job is
// retried with a growing delay.
TEST(MachineLifecycle, FailingJobQuarantinesNoMachine) {
    StartedLeader simulator("failing_job", {"m-1", "m-2", "m-3", "m-4"});
    simulator.submit(array_job("j-1", 1));
    for (int i = 0; i < 3; ++i) {
        simulator.plan_and_commit();
        simulator.send_heartbeats({"m-1", "m-2", "m-3", "m-4"});
        simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::error);
        simulator.send_heartbeats({"m-1", "m-2", "m-3", "m-4"});
    }
    EXPECT_EQ(simulator.starts, 3);
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
    simulator.plan_and_commit();
    simulator.send_heartbeats({"m-1", "m-2", "m-3", "m-4"});
    EXPECT_EQ(simulator.starts, 3);  // not retried at once
    for (const auto& [id, m] : simulator.leader_state().machines()) EXPECT_FALSE(m.quarantined) << id;
}

// One job fails on every machine, and on one machine every task fails: the job is delayed, that machine is
// quarantined, and the other machines are kept.
TEST(MachineLifecycle, FailingJobAndFaultyMachineAreToldApart) {
    StartedLeader simulator("failing_job_and_machine");
    const std::vector<std::string> machines{"m-1", "m-2", "m-3", "m-4"};
    for (const auto& m : machines) {
        simulator.add_worker(m);
        simulator.synchronize_worker(m);
    }
    simulator.submit(array_job("j-1", 1));  // fails on every machine
    simulator.submit(array_job("j-2", 6));  // fails on m-1 only
    for (int round = 0; round < 4; ++round) {
        simulator.plan_and_commit();
        simulator.send_heartbeats(machines);
        for (const auto& m : machines)
            for (auto& t : simulator.workers.at(m).tasks) {
                if (t.state == TaskState::exited) continue;
                const bool fails = t.task.job == "j-1" || m == "m-1";
                t.state = TaskState::exited;
                t.cause = fails ? ExitCause::error : ExitCause::done;
            }
        simulator.send_heartbeats(machines);
        simulator.advance(3);
    }
    simulator.commit_all();
    EXPECT_EQ(simulator.job_status("j-2"), "done");
    EXPECT_EQ(simulator.job_status("j-1"), "accepted");
    for (const auto& [id, m] : simulator.leader_state().machines())
        EXPECT_EQ(m.quarantined, id == "m-1") << id;
}

// A pool without capacity is not asked again for a while; another zone is tried at once.
TEST(MachineLifecycle, PoolWithoutCapacityBacksOff) {
    StartedLeader simulator("refused_pool");
    simulator.submit(gang_job("j-1", 1));
    simulator.plan_and_commit();
    const auto request = simulator.leader_state().next_provisioning_request();
    ASSERT_TRUE(request);
    simulator.leader_state().provisioning_refused(request->name, simulator.now);
    simulator.plan_and_commit();
    const auto other_request = simulator.leader_state().next_provisioning_request();
    ASSERT_TRUE(other_request);
    EXPECT_NE(other_request->zone, request->zone);  // the other zone is tried first
    simulator.note("cloud     " + request->zone + " has no capacity, " + other_request->zone + " is tried");
}

// A provisioned machine without a heartbeat is released after its boot timeout, and not before.
TEST(MachineLifecycle, MachineThatNeverBootsIsReleased) {
    StartedLeader simulator("never_boots");
    simulator.submit(gang_job("j-1", 1));
    simulator.plan_and_commit();
    simulator.provision_machines();
    simulator.advance(100);
    simulator.plan();
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
    simulator.advance(60);
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now).size(), 1U);
    simulator.release_machines();
}

// A partitioned leader receives no heartbeats. When it can act again, it measures silence from that moment.
TEST(MachineLifecycle, SilenceTimersRestartAfterAPartition) {
    StartedLeader simulator("silence_from_listening", {"m-1", "m-2"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.note("          partitioned for 60 s");
    simulator.advance(60);
    simulator.leader_state().restart_silence_timers(simulator.now);
    simulator.send_heartbeat("m-2");
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now),
              std::vector<std::string>{"m-2"});  // m-2 is idle; the silent m-1 is kept
    simulator.release_machines();
    simulator.send_heartbeat("m-1");
}

// A spot machine whose interruption notice has run out is released: the release proves it gone, without
// waiting for the machine list.
TEST(MachineLifecycle, ReclaimedSpotMachineIsReleasedAtOnce) {
    StartedLeader simulator("spot_reclaimed");
    simulator.add_worker("m-1", "g4", "a", true);
    simulator.synchronize_worker("m-1");
    simulator.workers.at("m-1").interruption_notice_s = 8;
    simulator.send_heartbeat("m-1");
    simulator.advance(8);
    simulator.plan();
    EXPECT_TRUE(simulator.leader_state().machines_to_release(simulator.now).empty());
    simulator.advance(1.5);
    simulator.plan();
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now).size(), 1U);
}

// A partition silences half of all machines for a while. Their tasks start on other machines only after the
// release of the silent machines was confirmed; heartbeats that the partition delayed prove nothing.
TEST(MachineLifecycle, TasksOfPartitionedMachinesRestartOnlyAfterRelease) {
    StartedLeader simulator("mass_silence");
    std::vector<std::string> silent, connected;
    const auto add_four = [&](std::vector<std::string>& list, int first) {
        for (int i = first; i < first + 4; ++i) {
            list.push_back("m-" + std::to_string(i));
            simulator.add_worker(list.back());
            simulator.synchronize_worker(list.back());
        }
    };
    add_four(silent, 1);
    simulator.submit(gang_job("j-1", 4));
    simulator.plan_and_commit();
    simulator.send_heartbeats(silent);
    const auto starts_before = simulator.starts;
    EXPECT_EQ(starts_before, 4);
    add_four(connected, 5);
    simulator.note("          m-1 to m-4 are partitioned, their packets held back");
    std::vector<model::Heartbeat> held_heartbeats;
    for (const auto& m : silent) held_heartbeats.push_back(simulator.next_heartbeat(simulator.workers.at(m)));
    for (int i = 0; i < 8; ++i) {
        simulator.advance(3);
        simulator.send_heartbeats(connected);
        simulator.plan_and_commit();
        EXPECT_EQ(simulator.starts, starts_before);
    }
    EXPECT_EQ(simulator.leader_state().machines_to_release(simulator.now).size(), 4U);
    EXPECT_EQ(simulator.starts, starts_before);
    simulator.release_machines();
    for (const auto& heartbeat : held_heartbeats)
        EXPECT_FALSE(simulator.leader_state().apply_heartbeat(heartbeat, simulator.now));
    for (int i = 0; i < 3; ++i) {
        simulator.plan_and_commit();
        simulator.send_heartbeats(connected);
        simulator.advance(1);
    }
    EXPECT_EQ(simulator.starts, starts_before + 4);
}

}  // namespace
}  // namespace pineroad::test
