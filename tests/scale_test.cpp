// The leader's state at the size of the largest deployment.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

// Counts the commits and changes of 16 s of scheduling, and checks that every job is placed.
TEST(Scale, PlacesAllJobsOn2300MachinesInFewChanges) {
    LeaderSimulator simulator("at_size");
    simulator.config.heartbeat_period_s = 8;
    simulator.begin_term();
    const int machines = 2300, jobs = 300;
    for (int i = 0; i < machines; ++i) {
        const auto id = "m-" + std::to_string(10000 + i);
        auto& worker = simulator.add_worker(id);
        simulator.leader_state().apply_heartbeat(simulator.next_heartbeat(worker), simulator.now);
        worker.fencing_token = simulator.leader_state().fencing_token();
        simulator.leader_state().apply_heartbeat(simulator.next_heartbeat(worker), simulator.now);
    }
    for (int i = 0; i < jobs; ++i) {
        auto job = i % 3 ? array_job("j-" + std::to_string(1000 + i), 15)
                         : gang_job("j-" + std::to_string(1000 + i), 1U << (i / 3 % 5));
        simulator.specs[job.id] = job;
        job.accepted_ms = simulator.wall_ms();
        simulator.leader_state().job_added(job, 1, simulator.now);
    }
    std::size_t commits = 0, changes = 0;
    for (int round = 0; round < 40; ++round) {
        simulator.plan();
        while (const auto batch = simulator.next_write_batch()) {
            ASSERT_LE(batch->transaction.changes.size(),
                      static_cast<std::size_t>(simulator.config.max_transaction_changes));
            ++commits, changes += batch->transaction.changes.size();
            const auto revision = simulator.store.commit(batch->transaction);
            if (!revision) break;  // a refused final record: the store has no record of its job
            simulator.leader_state().apply_commit(*batch, *revision, simulator.now, simulator.wall_ms());
        }
        simulator.advance(0.4);
    }
    std::size_t placed = 0, fully_placed = 0;
    for (const auto& [id, job] : simulator.leader_state().jobs()) {
        placed += job.placements.size();
        fully_placed += job.placements.size() == job.spec->task_count;
    }
    simulator.note(std::to_string(jobs) + " jobs, " + std::to_string(machines) +
                   " machines: " + std::to_string(placed) + " tasks placed, " + std::to_string(fully_placed) +
                   " jobs fully placed");
    simulator.note(std::to_string(commits) + " commits, " + std::to_string(changes) + " changes");
    EXPECT_EQ(fully_placed, static_cast<std::size_t>(jobs));
    EXPECT_LT(changes, 60U);  // one record per job took 300
    // The index of tasks by machine, which saves a search through all jobs, agrees with the jobs' placements.
    std::size_t indexed = 0;
    for (const auto& [id, m] : simulator.leader_state().machines()) indexed += m.tasks.size();
    EXPECT_EQ(indexed, placed);
}

}  // namespace
}  // namespace pineroad::test
