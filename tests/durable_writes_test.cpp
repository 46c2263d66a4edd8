// Compare-and-swap transactions of the leader: revisions, segments, tombstones, limits and batches.
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;
namespace records = wire::records;

// Submits and plans a job. Returns the batch that places it, which is not applied yet.
cluster::WriteBatch placement_batch(LeaderSimulator& simulator, const model::JobSpec& spec) {
    simulator.submit(spec);
    simulator.plan();
    const auto batch = simulator.next_write_batch();
    EXPECT_TRUE(batch);
    return batch.value();
}

// Every transaction of a leader is conditional on the leader record: one that arrives after a newer term has
// begun has no effect.
TEST(DurableWrites, LateCommitOfAnEarlierTermIsRefused) {
    StartedLeader simulator("late_commit_old_term", {"m-1"});
    const auto late_batch = placement_batch(simulator, array_job("j-1", 1));
    simulator.begin_term();
    EXPECT_FALSE(simulator.store.commit(late_batch.transaction));
    simulator.note("commit    of term 1 arrives: condition failed");
    simulator.synchronize_worker("m-1");
    simulator.run_placed_tasks("m-1");
    EXPECT_EQ(simulator.starts, 1);
}

// Every change is conditional on the revision of its record, so that a repeated commit cannot undo later
// changes.
TEST(DurableWrites, RepeatedCommitIsRefused) {
    StartedLeader simulator("late_copy", {"m-1"});
    const auto batch = placement_batch(simulator, array_job("j-1", 2));
    simulator.apply_batch(batch);
    EXPECT_FALSE(simulator.store.commit(batch.transaction));
    simulator.note("commit    the same again: condition failed");
}

// A job of 100,000 tasks: its progress record fits one store value, and the scheduling snapshot fits memory.
TEST(DurableWrites, LargeArrayFitsItsRecord) {
    StartedLeader simulator("large_array");
    for (int i = 0; i < 60; ++i) {
        const auto id = "m-" + std::to_string(100 + i);
        simulator.add_worker(id);
        simulator.leader_state().apply_heartbeat(simulator.next_heartbeat(simulator.workers.at(id)),
                                                 simulator.now);
        simulator.workers.at(id).fencing_token = simulator.leader_state().fencing_token();
        simulator.leader_state().apply_heartbeat(simulator.next_heartbeat(simulator.workers.at(id)),
                                                 simulator.now);
    }
    auto job = array_job("j-1", 100000);
    job.task_resources = {0.5, 0, 1};
    simulator.submit(job);
    simulator.plan();
    simulator.commit_all();  // the simulator checks every value against the setting value_kb
    std::size_t placed = 0;
    for (const auto& [key, row] : simulator.store.rows)
        if (records::strip_prefix(key, records::segment_prefix))
            placed = std::max(placed,
                              records::parse_segment(row.value)->entries.at({"j-1", 0})->placements.size());
    EXPECT_GT(placed, 150U);
}

// Guards against late completions. Under bursts of jobs that used up the write budget, every commit was
// small, full of placements, and had no room for final records: users waited minutes for the done status of
// jobs whose tasks had long finished.
TEST(DurableWrites, CompletionsComeBeforePlacements) {
    LeaderSimulator simulator("completions_before_placements");
    simulator.config.max_value_kb = 1;  // a segment holds few jobs
    simulator.begin_term();
    simulator.add_ready_workers({"m-1"});
    simulator.run_job(array_job("j-1", 1), "m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat("m-1");
    simulator.advance(1);
    for (int i = 0; i < 12; ++i) {
        const auto id = std::to_string(10 + i);
        simulator.add_worker("m-" + id);
        simulator.synchronize_worker("m-" + id);
        simulator.submit(array_job("j-" + id, 4));
    }
    simulator.plan();
    const auto batch = simulator.next_write_batch(constants::target_batch_changes);
    ASSERT_TRUE(batch);
    EXPECT_GE(batch->segments.size(), 1U);
    simulator.apply_batch(*batch);
    EXPECT_EQ(simulator.job_status("j-1"), "done");
}

// A segment that is no longer needed is overwritten. A repeat of the commit that first wrote it then finds a
// newer revision and does not restore the outdated state.
TEST(DurableWrites, RepeatedCommitOfAnOverwrittenSegmentIsRefused) {
    StartedLeader simulator("segment_overwritten", {"m-1"});
    const auto first_batch = placement_batch(simulator, array_job("j-1", 1));
    simulator.apply_batch(first_batch);
    simulator.send_heartbeat("m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat("m-1");
    simulator.commit_all();
    for (const auto* id : {"j-2", "j-3"}) {
        simulator.submit(array_job(id, 1));
        simulator.plan_and_commit();
    }
    EXPECT_FALSE(simulator.store.commit(first_batch.transaction));
    simulator.note("commit    the first again: condition failed");
    simulator.begin_term();
    // Finished: a later segment holds its tombstone.
    EXPECT_FALSE(simulator.leader_state().jobs().contains("j-1"));
    EXPECT_EQ(simulator.leader_state().jobs().at("j-2").placements.size(), 1U);
    EXPECT_EQ(simulator.leader_state().jobs().at("j-3").placements.size(), 1U);
}

// A finished job may still have an entry in a segment that other jobs need. A later segment then holds a
// tombstone for it, so that a new leader does not treat its tasks as unknown.
TEST(DurableWrites, FinishedJobGetsATombstone) {
    StartedLeader simulator("tombstone", {"m-1"});
    simulator.submit(array_job("j-1", 1));
    simulator.run_job(array_job("j-2", 1), "m-1");
    simulator.set_task_state("j-1/0", TaskState::exited, ExitCause::done);
    simulator.send_heartbeat("m-1");
    simulator.commit_all();
    simulator.submit(array_job("j-3", 1));
    simulator.plan();
    EXPECT_TRUE(simulator.next_write_batch());  // never applied: the next batch holds the tombstone again
    simulator.commit_all();
    simulator.begin_term();
    EXPECT_FALSE(simulator.leader_state().jobs().contains("j-1"));
    EXPECT_EQ(simulator.leader_state().jobs().at("j-2").placements.size(), 1U);
    EXPECT_EQ(simulator.leader_state().jobs().at("j-3").placements.size(), 1U);
}

// Version 0.1 stored one progress record per job. A new leader reads such a record, and moves it into a
// segment with the next change of the job.
TEST(DurableWrites, RecordsOfVersionZeroOneAreReadAndMoved) {
    StartedLeader simulator("earlier_records");
    simulator.add_worker("m-1");
    simulator.add_worker("m-2");
    simulator.submit(array_job("j-1", 2));
    model::Progress progress;
    progress.placements = {{0, 1, "m-1"}};
    progress.next_attempt = 2;
    progress.task_resources = array_job("j-1", 2).task_resources, progress.team = "team";
    simulator.store.put(records::progress_key("j-1"), records::progress_json(progress));
    simulator.begin_term();
    simulator.synchronize_worker("m-2");
    simulator.plan_and_commit();
    const auto commands = simulator.send_heartbeat("m-2");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].task.index, 1U);  // task 0 may still run on m-1
    EXPECT_FALSE(simulator.store.rows.contains(records::progress_key("j-1")));
    simulator.begin_term();
    EXPECT_EQ(simulator.leader_state().jobs().at("j-1").placements.size(), 2U);
}

}  // namespace
}  // namespace pineroad::test
