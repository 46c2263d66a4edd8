// store::WatchCache and its log of cancellations.
#include "store/watch_cache.hpp"

#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

namespace records = wire::records;

// The log returns all entries after a revision or nothing: nothing if it has evicted some of them, or if they
// exceed one message.
TEST(CancellationLog, ReturnsAllEntriesOrNothing) {
    store::CancellationLog log;
    EXPECT_TRUE(log.add("j-1", 5));
    EXPECT_TRUE(log.add("j-2", 9));
    EXPECT_FALSE(log.add("j-2", 9));
    EXPECT_EQ(log.entries_after(0)->size(), 2U);
    EXPECT_EQ(log.entries_after(5), (std::vector<store::CancellationLog::Entry>{{9, "j-2"}}));
    EXPECT_TRUE(log.entries_after(9)->empty());
    namespace c = constants;
    for (std::uint64_t r = 10; r < 10 + c::max_cancellations_per_message; ++r)
        log.add("j-" + std::to_string(r), r);
    EXPECT_FALSE(log.entries_after(8));  // one more than a message holds
    EXPECT_EQ(log.entries_after(9)->size(), c::max_cancellations_per_message);
    for (std::uint64_t r = 100000; r < 100000 + c::max_logged_cancellations; ++r) log.add("j-0", r);
    EXPECT_FALSE(log.entries_after(2008));  // the last evicted revision is 2009
    EXPECT_FALSE(log.entries_after(2009));  // still more than a message holds
    EXPECT_EQ(log.entries_after(100000 + c::max_logged_cancellations - 3)->size(), 2U);
    // An entry with an old revision that arrives late is not dropped silently either.
    log.add("j-1", 5);
    EXPECT_FALSE(log.entries_after(4));
}

// A peer reports a cancellation that the cache does not hold: the cache logs it and notifies its observer.
// Outcomes known before a reload are kept when the reloaded records lack them.
TEST(WatchCache, KeepsOutcomesLearnedFromPeers) {
    store::WatchCache cache;
    std::vector<std::string> notifications;
    cache.on_job_cancelled = [&](const std::string& id, bool is_new) {
        notifications.push_back(id + (is_new ? " new" : ""));
    };
    cache.record_outcome("j-1", {model::FinalStatus::cancelled}, 8);
    cache.record_outcome("j-2", {model::FinalStatus::done}, 9);
    cache.clear();
    EXPECT_EQ(cache.outcome_of("j-1"), model::FinalStatus::cancelled);
    EXPECT_EQ(cache.cancellations().entries_after(7)->size(), 1U);
    cache.apply(
        {{{records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::cancelled}), 8}}, 9}, 0);
    EXPECT_EQ(notifications, (std::vector<std::string>{"j-1 new", "j-1"}));
}

// Responses of two watches may arrive out of order: an older revision does not undo a newer one.
TEST(WatchCache, OlderRevisionsAreIgnored) {
    store::WatchCache cache;
    auto spec = array_job("j-1", 1);
    spec.accepted_ms = 1;
    cache.apply({{{records::job_key("j-1"), records::job_json(spec), 5}}, 5}, 0);
    cache.apply({{{records::job_key("j-1"), std::nullopt, 7},
                  {records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::cancelled}), 7}},
                 7},
                0);
    cache.apply({{{records::job_key("j-1"), records::job_json(spec), 5}}, 6}, 0);
    EXPECT_TRUE(cache.jobs.empty());
    EXPECT_EQ(cache.outcome_of("j-1"), model::FinalStatus::cancelled);
    EXPECT_EQ(cache.revision, 7U);
}

}  // namespace
}  // namespace pineroad::test
