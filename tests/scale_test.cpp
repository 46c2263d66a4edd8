// The leader's state at the size of the largest deployment.
#include "world.hpp"

namespace pineroad::test {
namespace {

// What a quarter of a minute costs in commits and changes, and that every job is placed.
TEST(Scale, TwoThousandMachines) {
    World w("at_size");
    w.config.report_s = 8;
    w.lead();
    const int machines = 2300, jobs = 300;
    for (int i = 0; i < machines; ++i) {
        const auto id = "m-" + std::to_string(10000 + i);
        auto& m = w.worker(id);
        w.book().absorb(w.report(m), w.now);
        m.token = w.book().token();
        w.book().absorb(w.report(m), w.now);
    }
    for (int i = 0; i < jobs; ++i) {
        auto job = i % 3 ? array_job("j-" + std::to_string(1000 + i), 15)
                         : gang_job("j-" + std::to_string(1000 + i), 1U << (i / 3 % 5));
        w.specs[job.id] = job;
        job.accepted_ms = w.wall_ms();
        w.book().job_added(job, 1, w.now);
    }
    std::size_t commits = 0, changes = 0;
    for (int round = 0; round < 40; ++round) {
        w.plan();
        while (const auto batch = w.take_batch()) {
            ASSERT_LE(batch->txn.apply.size(), static_cast<std::size_t>(w.config.txn_ops));
            ++commits, changes += batch->txn.apply.size();
            const auto epoch = w.state.commit(batch->txn);
            if (!epoch) break;  // the finals: this world's jobs were never accepted through it
            w.book().committed(*batch, *epoch, w.now, w.wall_ms());
        }
        w.pass(0.4);
    }
    std::size_t placed = 0, whole = 0;
    for (const auto& [id, job] : w.book().jobs()) {
        placed += job.slots.size();
        whole += job.slots.size() == job.spec->tasks;
    }
    w.note(std::to_string(jobs) + " jobs, " + std::to_string(machines) + " machines: " +
           std::to_string(placed) + " tasks placed, " + std::to_string(whole) + " jobs whole");
    w.note(std::to_string(commits) + " commits, " + std::to_string(changes) + " changes");
    EXPECT_EQ(whole, static_cast<std::size_t>(jobs));
    EXPECT_LT(changes, 60U);  // one record a job took 300
    // Every machine's tasks are found without a walk over the jobs: the index agrees with the slots.
    std::size_t indexed = 0;
    for (const auto& [id, m] : w.book().machines()) indexed += m.tasks.size();
    EXPECT_EQ(indexed, placed);
}

}  // namespace
}  // namespace pineroad::test
