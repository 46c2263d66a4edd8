// The loops of whole nodes, in simulated time: elections, outages, cuts, and what users are told meanwhile.
#include "cluster.hpp"

namespace pineroad::test {
namespace {

namespace records = wire::records;

model::Heartbeat idle_report(std::uint64_t sequence, std::uint64_t fencing_token = 0) {
    model::Heartbeat r;
    r.machine = "m-1", r.agent_epoch = 1, r.sequence = sequence, r.fencing_token = fencing_token;
    return r;
}

// One leader; any node takes a job, and any other knows it at once.
TEST(Controller, OneLeaderAndEveryNodeKnowsTheJob) {
    Cluster c("nodes_quiet", 3);
    c.run(5);
    EXPECT_FALSE(c.state.leader().empty());
    EXPECT_EQ(c.submit(0, "j-1")->status, 201);
    EXPECT_EQ(c.submit(1, "j-1")->status, 200);
    for (int n = 0; n < 3; ++n) EXPECT_EQ(c.poll(n, "j-1")->status, 200);
    EXPECT_EQ(c.poll(2, "j-404")->status, 404);
    EXPECT_EQ(c.cancel(2, "j-1")->status, 200);
    for (int n = 0; n < 3; ++n) {
        EXPECT_NE(c.poll(n, "j-1")->body.find("withdrawn"), std::string::npos);
        EXPECT_NE(c.submit(n, "j-1")->body.find("withdrawn"), std::string::npos);
    }
    int answers = 0;
    for (int n = 0; n < 3; ++n) answers += c.report(n, idle_report(1))->status == 200;
    EXPECT_EQ(answers, 1);  // the leader; the others name it
}

// A leader that loses the state service and its peers, but not its workers: it starts nothing, lets go of
// them soon after its lease, and takes nothing back when it returns.
TEST(Controller, LeaderCutOffAloneLetsItsWorkersGo) {
    Cluster c("leader_cut_off_alone", 3);
    c.run(5);
    const int old = c.leader();
    const auto fencing_token = c.state.fencing_token();
    std::uint64_t sequence = 0;
    EXPECT_EQ(c.report(old, idle_report(++sequence))->status, 200);
    EXPECT_EQ(c.submit((old + 1) % 3, "j-1")->status, 201);
    c.note("cut     c-" + std::to_string(old) + " from the state service and its peers");
    c.cut_from_state = c.cut_from_peers = {old};
    double let_go = -1;
    const double cut_at = c.now();
    for (int i = 0; i < 30 && let_go < 0; ++i) {
        c.run(0.5);
        const auto r = c.report(old, idle_report(++sequence, fencing_token));
        ASSERT_TRUE(r);
        EXPECT_EQ(r->body.find("start"), std::string::npos);
        if (r->status == 421) let_go = c.now() - cut_at;
    }
    c.note("report  m-1 at c-" + std::to_string(old) + ": 421");
    EXPECT_GT(let_go, 4.0);   // the others may be without the state service just as well
    EXPECT_LT(let_go, 12.0);  // ... but before a cancellation told elsewhere is in danger (66 - 36 - 4 s)
    c.run(5);
    const int fresh = c.leader();
    EXPECT_NE(fresh, old);
    EXPECT_GT(c.state.fencing_token(), fencing_token);
    const auto taken = c.report(fresh, idle_report(++sequence, fencing_token));
    EXPECT_EQ(taken->status, 200);
    const auto refused = c.poll(old, "j-1");
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->close);  // the user's next try reaches another node
    EXPECT_GT(refused->retry_after_s, 0);
    c.note("cut     ends");
    c.cut_from_state.clear(), c.cut_from_peers.clear();
    c.run(5);
    EXPECT_EQ(c.leader(), fresh);
    EXPECT_EQ(c.report(old, idle_report(++sequence, c.state.fencing_token()))->status, 421);
    EXPECT_EQ(c.poll(old, "j-1")->status, 200);
}

// In an outage of all, nobody else can lead: the leader goes on answering its workers.
TEST(Controller, OutageOfAllKeepsWorkers) {
    Cluster c("outage_of_all", 3);
    c.run(5);
    const int leader = c.leader();
    std::uint64_t sequence = 0;
    c.note("outage  of the state service");
    c.state_out = true;
    for (int i = 0; i < 20; ++i) {
        c.run(1);
        EXPECT_EQ(c.report(leader, idle_report(++sequence, 1))->status, 200) << i;
    }
    const auto refused = c.submit(1, "j-1");
    EXPECT_EQ(refused->status, 503);
    EXPECT_GT(refused->retry_after_s, 0);
    EXPECT_EQ(c.ask(1, "GET", "/up")->status, 200);  // nobody would be better
    c.note("outage  ends");
    c.state_out = false;
    c.state.extend_leases(c.now());
    c.run(3);
    EXPECT_EQ(c.leader(), leader);
    EXPECT_EQ(c.submit(1, "j-1")->status, 201);
}

// A leader that stands still with a start decided, its commit and its answer on their way, while its clock
// runs on: when it goes on, the commit comes late and is refused, and the answer carries no start.
TEST(Controller, FrozenLeaderStartsNothing) {
    Cluster c("frozen_leader", 3);
    c.run(5);
    const int old = c.leader(), other = (old + 1) % 3;
    const auto fencing_token = c.state.fencing_token();
    std::uint64_t sequence = 0;
    EXPECT_EQ(c.report(old, idle_report(++sequence))->status, 200);
    c.run(1);
    const auto held =
        c.send(old, "POST", "/checkin", Cluster::body_of(idle_report(++sequence, fencing_token)));
    c.run(0.1);
    c.holding = {old};
    EXPECT_EQ(c.submit(other, "j-1")->status, 201);
    while (c.held[old].empty()) c.run(0.01);  // the placement is on its way
    c.holding.clear();
    c.note("freeze  of c-" + std::to_string(old));
    c.frozen = {old};
    c.run(12);
    const int fresh = c.leader();
    EXPECT_NE(fresh, old);
    EXPECT_FALSE(*held);
    // The machine finds the new leader, which gives it the job.
    const auto at_fresh = c.report(fresh, idle_report(++sequence, fencing_token));
    EXPECT_EQ(at_fresh->status, 200);
    c.note("freeze  ends");
    const auto& late = c.held[old].front();
    EXPECT_EQ(c.state.answer(late.method, late.target, late.body, c.now()).status, 409);
    c.frozen.clear();
    c.run(0.2);
    ASSERT_TRUE(*held);
    EXPECT_EQ((*held)->body.find("start"), std::string::npos);
    c.note("late    answer of c-" + std::to_string(old) + " to m-1: " + std::to_string((*held)->status));
    const auto first = c.report(fresh, idle_report(++sequence, c.state.fencing_token()));
    const auto second = c.report(fresh, idle_report(++sequence, c.state.fencing_token()));
    EXPECT_EQ(c.report(old, idle_report(sequence, c.state.fencing_token()))->status, 421);
    const bool started =
        first->body.find("start") != std::string::npos || second->body.find("start") != std::string::npos;
    EXPECT_TRUE(started);
    c.run(3);
    EXPECT_EQ(c.poll(old, "j-1")->status, 200);
}

// A candidate that stands still between its lease and its bid: the bid comes late, for a lease that is gone.
TEST(Controller, FrozenCandidateWinsNothing) {
    Cluster c("frozen_candidate", 3);
    c.run(5);
    const int first = c.leader();
    const int one = (first + 1) % 3, two = (first + 2) % 3;
    c.note("end     of c-" + std::to_string(first));
    c.end(first);
    const auto leases = c.requests["leases"];
    while (c.requests["leases"] == leases) c.run(0.01);  // one of them asks for a lease
    c.note("freeze  of both others");
    c.frozen = {one, two};
    c.run(20);
    EXPECT_EQ(c.state.leader(), "");
    c.frozen = {two};
    c.note("freeze  ends for c-" + std::to_string(one));
    c.run(6);
    EXPECT_EQ(c.leader(), one);
    const auto fencing_token = c.state.fencing_token();
    c.frozen.clear();
    c.note("freeze  ends for c-" + std::to_string(two));
    c.run(6);
    EXPECT_EQ(c.state.fencing_token(), fencing_token);
    EXPECT_EQ(c.report(one, idle_report(1))->status, 200);
    EXPECT_EQ(c.report(two, idle_report(1))->status, 421);
}

// Back within a moment, in the middle of an election: the earlier life's bid comes late and wins a term for a
// process that is gone. Its new life knows better than to hold that lease for its own.
TEST(Controller, RestartInTheMiddleOfAnElection) {
    Cluster c("restart_in_election", 3);
    c.run(5);
    const int first = c.leader();
    const auto fencing_token = c.state.fencing_token();
    const int one = (first + 1) % 3, two = (first + 2) % 3;
    c.note("hold    the commits of c-" + std::to_string(one) + " and c-" + std::to_string(two));
    c.holding = {one, two};
    c.note("end     of c-" + std::to_string(first));
    c.end(first);
    while (c.held[one].empty() || c.held[two].empty()) c.run(0.1);
    c.note("end     of the other two, back at once");
    c.holding.clear();
    c.end(one), c.end(two);
    for (const int n : {one, two})
        for (const auto& r : c.held[n]) {
            const int status = c.state.answer(r.method, r.target, r.body, c.now()).status;
            c.note("late    bid of the earlier c-" + std::to_string(n) +
                   " arrives: " + std::to_string(status));
        }
    const auto dead = c.state.fencing_token();
    c.restart(one), c.restart(two);
    EXPECT_EQ(dead, fencing_token + 1);
    c.run(2);
    c.restart(first);
    c.run(8);
    EXPECT_GT(c.state.fencing_token(), dead);  // its lease was ended, not used
    int leaders = 0;
    for (int n = 0; n < 3; ++n) leaders += c.report(n, idle_report(1))->status == 200;
    EXPECT_EQ(leaders, 1);
    EXPECT_EQ(c.submit(one, "j-1")->status, 201);
}

// The state service serves all nodes together: what one reads for its users is paced by their number.
TEST(Controller, ReadsKeepToTheirShare) {
    Cluster c("reads_paced", 5);
    c.run(5);
    EXPECT_EQ(c.submit(0, "j-1")->status, 201);
    c.requests.clear();
    const double from = c.now();
    for (int i = 0; i < 60; ++i)
        for (int n = 0; n < 5; ++n) EXPECT_EQ(c.poll(n, "j-1")->status, 200);
    int total = 0;
    for (const auto& [kind, n] : c.requests) total += n;
    EXPECT_LT(total / (c.now() - from), 70);                  // of the 100 a second that the settings allow
    EXPECT_GT(c.requests["leases"] / (c.now() - from), 0.5);  // renewals go on
}

}  // namespace
}  // namespace pineroad::test
