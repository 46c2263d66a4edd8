// Unit tests of model::DependencyGraph.
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

model::JobSpec job_depending_on(const std::string& id, Ids dependencies, Priority priority = Priority::low) {
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
    graph.add(job_depending_on("j-1", {}));
    graph.add(job_depending_on("j-2", {}));
    graph.add(job_depending_on("j-3", {"j-1", "j-2"}));
    EXPECT_TRUE(graph.is_ready("j-1"));
    EXPECT_FALSE(graph.is_ready("j-3"));
    EXPECT_TRUE(graph.record_outcome("j-1", {FinalStatus::done, 500}).ready.empty());
    EXPECT_TRUE(graph.record_outcome("j-1", {FinalStatus::done, 500}).ready.empty());  // recorded twice
    EXPECT_FALSE(graph.is_ready("j-3"));
    EXPECT_EQ(graph.record_outcome("j-2", {FinalStatus::done, 300}).ready, Ids{"j-3"});
    EXPECT_TRUE(graph.is_ready("j-3"));
    EXPECT_EQ(graph.ready_since_ms("j-3"), 500);
}

// A missing live record does not prove that a dependency is done: a job whose dependency is unknown is not
// ready.
TEST(DependencyGraph, UnknownDependencyIsNotDone) {
    DependencyGraph graph;
    graph.add(job_depending_on("j-2", {"j-1"}));
    EXPECT_FALSE(graph.is_ready("j-2"));
    EXPECT_FALSE(graph.is_cancelled("j-2"));
    EXPECT_EQ(graph.unresolved(), Ids{"j-1"});
    graph.add(job_depending_on("j-3", {"j-2"}));
    EXPECT_EQ(graph.unresolved_ancestors("j-3"), Ids{"j-1"});
    graph.add(job_depending_on("j-1", {}));  // records may be read in any order
    EXPECT_TRUE(graph.unresolved().empty());
    graph.remove("j-1");
    EXPECT_EQ(graph.unresolved(), Ids{"j-1"});
    graph.record_outcome("j-1", {FinalStatus::done, 1});
    EXPECT_TRUE(graph.unresolved().empty());
}

TEST(DependencyGraph, CancellationReportsEachDependentOnce) {
    DependencyGraph graph;
    graph.add(job_depending_on("j-1", {}));
    graph.add(job_depending_on("j-2", {"j-1"}));
    graph.add(job_depending_on("j-3", {"j-1"}));
    graph.add(job_depending_on("j-4", {"j-2", "j-3"}));
    EXPECT_EQ(sorted(graph.record_outcome("j-1", {FinalStatus::cancelled}).cancelled),
              (Ids{"j-2", "j-3", "j-4"}));
    EXPECT_FALSE(graph.is_ready("j-4"));
    EXPECT_EQ(graph.add(job_depending_on("j-5", {"j-4"})).cancelled, Ids{"j-5"});
    // The final record of j-4 changes nothing, and j-5 stays cancelled after j-4 was removed.
    graph.remove("j-4");
    EXPECT_TRUE(graph.record_outcome("j-4", {FinalStatus::cancelled}).cancelled.empty());
    EXPECT_TRUE(graph.is_cancelled("j-5"));
}

// 40 diamonds in a row have 2^40 paths, and recursion over a chain of 20,000 jobs would overflow the stack.
TEST(DependencyGraph, VisitsEachJobOnce) {
    DependencyGraph graph;
    std::string last = "j-0";
    graph.add(job_depending_on(last, {}));
    for (int i = 1; i <= 40; ++i) {
        const auto n = std::to_string(i);
        graph.add(job_depending_on("j-l" + n, {last}));
        graph.add(job_depending_on("j-r" + n, {last}));
        last = "j-" + n;
        auto diamond_end =
            job_depending_on(last, {"j-l" + n, "j-r" + n}, i == 40 ? Priority::high : Priority::low);
        diamond_end.deadline_s = 100000;
        graph.add(diamond_end);
    }
    EXPECT_EQ(graph.priority(job_depending_on("j-0", {})), Priority::high);
    EXPECT_TRUE(graph.unresolved_ancestors(last).empty());
    EXPECT_EQ(graph.record_outcome("j-0", {FinalStatus::cancelled}).cancelled.size(), 120U);
    DependencyGraph chain;
    chain.add(job_depending_on("j-0", {}));
    for (int i = 1; i <= 20000; ++i)
        chain.add(job_depending_on("j-" + std::to_string(i), {"j-" + std::to_string(i - 1)}));
    EXPECT_EQ(chain.record_outcome("j-0", {FinalStatus::cancelled}).cancelled.size(), 20000U);
}

// A job inherits the highest priority and the earliest deadline of the jobs that depend on it, directly or
// not, as long as these are live.
TEST(DependencyGraph, InheritsPriorityAndDeadline) {
    DependencyGraph graph;
    const auto first = job_depending_on("j-1", {});
    graph.add(first);
    const auto second = job_depending_on("j-2", {"j-1"});
    graph.add(second);
    auto urgent = job_depending_on("j-3", {"j-2"}, Priority::high);
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

// A reload of the watch cache clears the graph and adds the live jobs again. The graph keeps the outcomes of
// the jobs that they depend on.
TEST(DependencyGraph, OutcomesSurviveCacheReload) {
    DependencyGraph graph;
    graph.add(job_depending_on("j-1", {}));
    graph.add(job_depending_on("j-2", {"j-1"}));
    graph.add(job_depending_on("j-3", {"j-2"}));
    graph.remove("j-1");
    graph.record_outcome("j-1", {FinalStatus::cancelled});
    graph.clear();
    graph.add(job_depending_on("j-3", {"j-2"}));
    EXPECT_FALSE(graph.is_cancelled("j-3"));
    EXPECT_EQ(sorted(graph.add(job_depending_on("j-2", {"j-1"})).cancelled), (Ids{"j-2", "j-3"}));
    EXPECT_EQ(sorted(graph.cancelled()), (Ids{"j-2", "j-3"}));
    graph.clear();
    graph.drop_unreferenced_outcomes();
    graph.add(job_depending_on("j-2", {"j-1"}));
    EXPECT_EQ(graph.unresolved(), Ids{"j-1"});  // its outcome was dropped and must be looked up
}

}  // namespace
}  // namespace pineroad::test
