// The dependencies between jobs, without anything around them.
#include "model/dependency_graph.hpp"

#include <gtest/gtest.h>

#include "sample_jobs.hpp"

namespace pineroad::test {
namespace {

using model::DependencyGraph;
using model::FinalStatus;
using model::JobOutcome;
using model::Priority;
using Ids = std::vector<std::string>;

model::JobSpec after(const std::string& id, Ids dependencies, Priority priority = Priority::low) {
    auto spec = array_job(id, 1);
    spec.dependencies = std::move(dependencies);
    spec.priority = priority;
    return spec;
}

Ids sorted(Ids ids) {
    std::sort(ids.begin(), ids.end());
    return ids;
}

TEST(DependencyGraph, ReadyOnceAllAreDone) {
    DependencyGraph graph;
    graph.add(after("j-1", {}));
    graph.add(after("j-2", {}));
    graph.add(after("j-3", {"j-1", "j-2"}));
    EXPECT_TRUE(graph.is_ready("j-1"));
    EXPECT_FALSE(graph.is_ready("j-3"));
    EXPECT_TRUE(graph.record_outcome("j-1", {FinalStatus::done, 500}).ready.empty());
    EXPECT_TRUE(graph.record_outcome("j-1", {FinalStatus::done, 500}).ready.empty());  // told again
    EXPECT_FALSE(graph.is_ready("j-3"));
    EXPECT_EQ(graph.record_outcome("j-2", {FinalStatus::done, 300}).ready, Ids{"j-3"});
    EXPECT_TRUE(graph.is_ready("j-3"));
    EXPECT_EQ(graph.ready_since_ms("j-3"), 500);
}

// Absence from the live records proves nothing: a job whose dependency can't be found isn't ready.
TEST(DependencyGraph, WhatIsNotKnownIsNotDone) {
    DependencyGraph graph;
    graph.add(after("j-2", {"j-1"}));
    EXPECT_FALSE(graph.is_ready("j-2"));
    EXPECT_FALSE(graph.is_cancelled("j-2"));
    EXPECT_EQ(graph.unresolved(), Ids{"j-1"});
    graph.add(after("j-3", {"j-2"}));
    EXPECT_EQ(graph.unresolved_ancestors("j-3"), Ids{"j-1"});
    graph.add(after("j-1", {}));  // in whatever order records are read
    EXPECT_TRUE(graph.unresolved().empty());
    graph.remove("j-1");
    EXPECT_EQ(graph.unresolved(), Ids{"j-1"});
    graph.record_outcome("j-1", {FinalStatus::done, 1});
    EXPECT_TRUE(graph.unresolved().empty());
}

TEST(DependencyGraph, CancelsADiamondOnce) {
    DependencyGraph graph;
    graph.add(after("j-1", {}));
    graph.add(after("j-2", {"j-1"}));
    graph.add(after("j-3", {"j-1"}));
    graph.add(after("j-4", {"j-2", "j-3"}));
    EXPECT_EQ(sorted(graph.record_outcome("j-1", {FinalStatus::cancelled}).cancelled),
              (Ids{"j-2", "j-3", "j-4"}));
    EXPECT_FALSE(graph.is_ready("j-4"));
    EXPECT_EQ(graph.add(after("j-5", {"j-4"})).cancelled, Ids{"j-5"});
    // Its own final record says the same, and what comes after it stays cancelled without it.
    graph.remove("j-4");
    EXPECT_TRUE(graph.record_outcome("j-4", {FinalStatus::cancelled}).cancelled.empty());
    EXPECT_TRUE(graph.is_cancelled("j-5"));
}

// Forty diamonds in a row have a million million paths, and a deep chain would end a recursion.
TEST(DependencyGraph, WalksEachJobOnce) {
    DependencyGraph graph;
    std::string last = "j-0";
    graph.add(after(last, {}));
    for (int i = 1; i <= 40; ++i) {
        const auto n = std::to_string(i);
        graph.add(after("j-l" + n, {last}));
        graph.add(after("j-r" + n, {last}));
        last = "j-" + n;
        auto end = after(last, {"j-l" + n, "j-r" + n}, i == 40 ? Priority::high : Priority::low);
        end.deadline_s = 100000;
        graph.add(end);
    }
    EXPECT_EQ(graph.priority(after("j-0", {})), Priority::high);
    EXPECT_TRUE(graph.unresolved_ancestors(last).empty());
    EXPECT_EQ(graph.record_outcome("j-0", {FinalStatus::cancelled}).cancelled.size(), 120U);
    DependencyGraph chain;
    chain.add(after("j-0", {}));
    for (int i = 1; i <= 20000; ++i)
        chain.add(after("j-" + std::to_string(i), {"j-" + std::to_string(i - 1)}));
    EXPECT_EQ(chain.record_outcome("j-0", {FinalStatus::cancelled}).cancelled.size(), 20000U);
}

// The highest priority and the earliest deadline of what comes after count, until that is over.
TEST(DependencyGraph, InheritsPriorityAndDeadline) {
    DependencyGraph graph;
    const auto first = after("j-1", {});
    graph.add(first);
    const auto second = after("j-2", {"j-1"});
    graph.add(second);
    auto urgent = after("j-3", {"j-2"}, Priority::high);
    urgent.deadline_s = 100;
    urgent.estimate_s = 10;
    graph.add(urgent);
    EXPECT_EQ(graph.priority(first), Priority::high);
    EXPECT_EQ(graph.deadline_ms(urgent), 100000);
    ASSERT_TRUE(graph.deadline_ms(second) && graph.deadline_ms(first));
    EXPECT_LT(*graph.deadline_ms(second), 90000);
    EXPECT_LT(*graph.deadline_ms(first),
              *graph.deadline_ms(second) - static_cast<std::int64_t>(second.estimate_s * 1000));
    graph.remove("j-3");
    EXPECT_EQ(graph.priority(first), Priority::low);
    EXPECT_FALSE(graph.deadline_ms(first));
}

// A mirror read anew adds the live jobs again; how those before them ended is not forgotten meanwhile.
TEST(DependencyGraph, EndsOutliveAMirrorReadAnew) {
    DependencyGraph graph;
    graph.add(after("j-1", {}));
    graph.add(after("j-2", {"j-1"}));
    graph.add(after("j-3", {"j-2"}));
    graph.remove("j-1");
    graph.record_outcome("j-1", {FinalStatus::cancelled});
    graph.clear();
    graph.add(after("j-3", {"j-2"}));
    EXPECT_FALSE(graph.is_cancelled("j-3"));
    EXPECT_EQ(sorted(graph.add(after("j-2", {"j-1"})).cancelled), (Ids{"j-2", "j-3"}));
    EXPECT_EQ(sorted(graph.cancelled()), (Ids{"j-2", "j-3"}));
    graph.clear();
    graph.drop_unreferenced_outcomes();
    graph.add(after("j-2", {"j-1"}));
    EXPECT_EQ(graph.unresolved(), Ids{"j-1"});  // forgotten: it has to be looked up
}

}  // namespace
}  // namespace pineroad::test
