// Compare-and-swap transactions of the leader: revisions, segments, tombstones, limits and batches.
#include "world.hpp"

namespace pineroad::test {
namespace {

using model::ExitCause;
using model::TaskState;
namespace records = wire::records;

// A job is submitted and planned; the batch that places it, which is not applied yet.
control::Batch placement_batch(World& w, const model::JobSpec& spec) {
    w.submit(spec);
    w.plan();
    const auto batch = w.take_batch();
    EXPECT_TRUE(batch);
    return batch.value();
}

// Every write of a leader names the leadership key: applied late, after a newer term, it does nothing.
TEST(DurableWrites, LateCommitOfAnEarlierTermIsRefused) {
    StartedLeader w("late_commit_old_term", {"m-1"});
    const auto late = placement_batch(w, array_job("j-1", 1));
    w.lead();
    EXPECT_FALSE(w.state.commit(late.txn));
    w.note("commit  of term 1 arrives: refused");
    w.meet("m-1");
    w.run_placed_tasks("m-1");
    EXPECT_EQ(w.starts, 1);
}

// Every record names its own revision: a second copy of a commit can't undo what came after it.
TEST(DurableWrites, LateCopyOfACommitIsRefused) {
    StartedLeader w("late_copy", {"m-1"});
    const auto batch = placement_batch(w, array_job("j-1", 2));
    w.apply(batch);
    EXPECT_FALSE(w.state.commit(batch.txn));
    w.note("commit  the same again: refused");
}

// 100,000 tasks: the record stays within one value and the scheduling snapshot within memory.
TEST(DurableWrites, LargeArrayFitsItsRecord) {
    StartedLeader w("large_array");
    for (int i = 0; i < 60; ++i) {
        const auto id = "m-" + std::to_string(100 + i);
        w.worker(id);
        w.book().absorb(w.report(w.workers.at(id)), w.now);
        w.workers.at(id).token = w.book().token();
        w.book().absorb(w.report(w.workers.at(id)), w.now);
    }
    auto job = array_job("j-1", 100000);
    job.need = {0.5, 0, 1};
    w.submit(job);
    w.plan();
    w.commit();  // judged against value_kb by the stand-in
    std::size_t placed = 0;
    for (const auto& [key, row] : w.state.rows)
        if (records::under(key, records::segment_prefix))
            placed = std::max(placed,
                              records::parse_segment(row.value)->entries.at({"j-1", 0})->placements.size());
    EXPECT_GT(placed, 150U);
}

// Found by a day of bursts: with the write budget spent, every commit was small, filled with placements,
// and left no room for the end of a job. Users waited minutes for the done of work that had long ended.
TEST(DurableWrites, CompletionsComeBeforePlacements) {
    World w("ends_in_a_crowd");
    w.config.value_kb = 1;  // a segment holds few jobs
    w.lead();
    w.add_ready_workers({"m-1"});
    w.run_job(array_job("j-1", 1), "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.checkin("m-1");
    w.pass(1);
    for (int i = 0; i < 12; ++i) {
        const auto id = std::to_string(10 + i);
        w.worker("m-" + id);
        w.meet("m-" + id);
        w.submit(array_job("j-" + id, 4));
    }
    w.plan();
    const auto batch = w.take_batch(constants::least_batch);
    ASSERT_TRUE(batch);
    EXPECT_GE(batch->segments.size(), 1U);
    w.apply(*batch);
    EXPECT_EQ(w.status("j-1"), "done");
}

// A segment is overwritten when nobody needs it; a second copy of the commit that wrote it first then
// finds a newer revision, and what was true at that time does not come back.
TEST(DurableWrites, LateCopyOfAnOverwrittenSegmentIsRefused) {
    StartedLeader w("segment_written_over", {"m-1"});
    const auto first = placement_batch(w, array_job("j-1", 1));
    w.apply(first);
    w.checkin("m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.checkin("m-1");
    w.commit();
    for (const auto* id : {"j-2", "j-3"}) {
        w.submit(array_job(id, 1));
        w.decide();
    }
    EXPECT_FALSE(w.state.commit(first.txn));
    w.note("commit  the first again: refused");
    w.lead();
    EXPECT_FALSE(w.book().jobs().contains("j-1"));  // over: denied in a later segment
    EXPECT_EQ(w.book().jobs().at("j-2").slots.size(), 1U);
    EXPECT_EQ(w.book().jobs().at("j-3").slots.size(), 1U);
}

// A job that is over still stands in a segment that others need: a later segment holds a tombstone for
// it, so that a new leader does not take its tasks for unknown ones.
TEST(DurableWrites, EndedJobGetsATombstone) {
    StartedLeader w("denied", {"m-1"});
    w.submit(array_job("j-1", 1));
    w.run_job(array_job("j-2", 1), "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.checkin("m-1");
    w.commit();
    w.submit(array_job("j-3", 1));
    w.plan();
    EXPECT_TRUE(w.take_batch());  // refused by the state service: the next one says it again
    w.commit();
    w.lead();
    EXPECT_FALSE(w.book().jobs().contains("j-1"));
    EXPECT_EQ(w.book().jobs().at("j-2").slots.size(), 1U);
    EXPECT_EQ(w.book().jobs().at("j-3").slots.size(), 1U);
}

// Version 0.1 kept a record a job. A new leader reads it, and moves it into a segment with the next
// change.
TEST(DurableWrites, RecordsOfTheEarlierVersionAreRead) {
    StartedLeader w("earlier_records");
    w.worker("m-1");
    w.worker("m-2");
    w.submit(array_job("j-1", 2));
    model::Progress p;
    p.placements = {{0, 1, "m-1"}};
    p.next_attempt = 2;
    p.need = array_job("j-1", 2).need, p.team = "team";
    w.state.put(records::progress_key("j-1"), records::progress_json(p));
    w.lead();
    w.meet("m-2");
    w.decide();
    const auto orders = w.checkin("m-2");
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].task.index, 1U);  // the other may run on m-1
    EXPECT_FALSE(w.state.rows.contains(records::progress_key("j-1")));
    w.lead();
    EXPECT_EQ(w.book().jobs().at("j-1").slots.size(), 2U);
}

}  // namespace
}  // namespace pineroad::test
