// The watch cache of the store (control::Mirror) and its log of cancellations.
#include "control/mirror.hpp"
#include "leader_simulator.hpp"

namespace pineroad::test {
namespace {

namespace records = wire::records;

// A part is never given for the whole: a log that dropped some, or holds more than a message, says so.
TEST(CancellationLog, GivesAllOrNothing) {
    control::CancellationLog log;
    EXPECT_TRUE(log.learn("j-1", 5));
    EXPECT_TRUE(log.learn("j-2", 9));
    EXPECT_FALSE(log.learn("j-2", 9));
    EXPECT_EQ(log.above(0)->size(), 2U);
    EXPECT_EQ(log.above(5), (std::vector<control::CancellationLog::Entry>{{9, "j-2"}}));
    EXPECT_TRUE(log.above(9)->empty());
    namespace c = constants;
    for (std::uint64_t r = 10; r < 10 + c::gossip_cancels; ++r) log.learn("j-" + std::to_string(r), r);
    EXPECT_FALSE(log.above(8));  // one more than a message holds
    EXPECT_EQ(log.above(9)->size(), c::gossip_cancels);
    for (std::uint64_t r = 100000; r < 100000 + c::cancellations_kept; ++r) log.learn("j-0", r);
    EXPECT_FALSE(log.above(2008));  // the last that was forgotten is 2009
    EXPECT_FALSE(log.above(2009));  // still more than a message
    EXPECT_EQ(log.above(100000 + c::cancellations_kept - 3)->size(), 2U);
    // An entry of an old revision that comes late is not dropped silently either.
    log.learn("j-1", 5);
    EXPECT_FALSE(log.above(4));
}

// A peer names a cancellation that the cache does not hold; it is passed on, the leader's state learns of
// it, and a final state that is missing when the cache is read anew is not forgotten.
TEST(WatchCache, LearnsFinalStatesFromAnyPeer) {
    control::Mirror m;
    std::vector<std::string> learned;
    m.on_cancelled = [&](const std::string& id, bool fresh) {
        learned.push_back(id + (fresh ? " new" : ""));
    };
    m.learn_final("j-1", {model::Final::cancelled}, 8);
    m.learn_final("j-2", {model::Final::done}, 9);
    m.clear();
    EXPECT_EQ(m.final_of("j-1"), model::Final::cancelled);
    EXPECT_EQ(m.cancellations().above(7)->size(), 1U);
    m.apply({{{records::final_key("j-1"), records::final_json({model::Final::cancelled}), 8}}, 9}, 0);
    EXPECT_EQ(learned, (std::vector<std::string>{"j-1 new", "j-1"}));
}

// Two watches may answer out of order: what is known is not undone by an older revision.
TEST(WatchCache, OverlappingWatchesApplyOnce) {
    control::Mirror m;
    auto spec = array_job("j-1", 1);
    spec.accepted_ms = 1;
    m.apply({{{records::job_key("j-1"), records::job_json(spec), 5}}, 5}, 0);
    m.apply({{{records::job_key("j-1"), std::nullopt, 7},
              {records::final_key("j-1"), records::final_json({model::Final::cancelled}), 7}},
             7},
            0);
    m.apply({{{records::job_key("j-1"), records::job_json(spec), 5}}, 6}, 0);
    EXPECT_TRUE(m.jobs.empty());
    EXPECT_EQ(m.final_of("j-1"), model::Final::cancelled);
    EXPECT_EQ(m.epoch, 7U);
}

}  // namespace
}  // namespace pineroad::test
