// Meetings of two troubles, brought about with whole nodes, a state service and workers in simulated time.
// The fleet's referee judges ran_twice, ran_cancelled and went_back at every step; what stands here is the
// rest. docs/safety.md has a table of these by the operators' list.
#include "cluster.hpp"

namespace pineroad::test {
namespace {

// Three controllers, machines that they rent, and jobs of one task that run for long.
class Meeting : public Cluster {
   public:
    explicit Meeting(const std::string& name, int nodes = 3) : Cluster(name, nodes) {
        fleet.capacity = 6;
        run(5);
    }
    // Submitted at whatever node, and running.
    void start(const std::vector<std::string>& jobs) {
        for (const auto& id : jobs) EXPECT_EQ(submit(0, id)->status, 201);
        for (int i = 0; i < 60 && fleet.running() < jobs.size(); ++i) run(1);
        EXPECT_EQ(fleet.running(), jobs.size());
        old = leader();
        other = (old + 1) % 3, third = (old + 2) % 3;
    }
    void outage_begins() {
        note("outage  of the state service");
        state_out = true;
    }
    void outage_ends() {
        note("outage  ends");
        state_out = false;
        refused.clear();
        state.extend_leases(now());
    }
    // How long until nothing of the job is on a machine.
    double gone_within(const std::string& job, double at_most) {
        const double from = now();
        while (fleet.runs(job) && now() < from + at_most) run(0.5);
        EXPECT_FALSE(fleet.runs(job)) << job;
        note("gone    " + job);
        return now() - from;
    }
    // Every controller answers about the job within 75 s of the end of all troubles.
    void answerable(const std::string& job, const std::string& status) {
        for (int n = 0; n < nodes(); ++n) {
            const double from = now();
            auto r = poll(n, job);
            while ((!r || r->status != 200) && now() < from + 75) {
                run(5);
                r = poll(n, job);
            }
            ASSERT_TRUE(r);
            EXPECT_NE(r->body.find(status), std::string::npos) << r->body;
        }
    }
    int old = -1, other = -1, third = -1;
};

const std::pair<const char*, Fleet::Trouble> machine_troubles[] = {
    {"hung", {true, false, false}}, {"deaf", {false, true, false}}, {"mute", {false, false, true}}};

// The meeting that broke most schedulers. The leader is refused alone and keeps its workers through the
// outage that follows; what another controller confirmed meanwhile is gone all the same, and soon: its peers
// vouch for all they told. Healthy work lives on.
TEST(Meetings, CancelledElsewhereThenAnOutageOfAll) {
    Meeting c("gap");
    c.start({"j-1", "j-2", "j-3"});
    c.note("refuse  c-" + std::to_string(c.old));
    c.refused = {c.old};
    c.run(0.5);
    // The leader has heard of it by the time its user is told: nothing starts after a confirmed cancellation.
    const auto stopped = c.fleet.stops;
    EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
    c.run(0.55);  // a plan; the next round of gossip is a second after the last
    EXPECT_GT(c.fleet.stops, stopped);
    c.run(0.45);
    EXPECT_EQ(c.cancel(c.third, "j-2")->status, 200);
    c.outage_begins();
    EXPECT_LT(c.gone_within("j-1", 10), 8);
    EXPECT_LT(c.gone_within("j-2", 10), 8);
    c.run(78);
    EXPECT_EQ(c.fleet.killed_by_lease, 0);
    EXPECT_TRUE(c.fleet.runs("j-3"));
    c.outage_ends();
    c.run(10);
    EXPECT_TRUE(c.fleet.runs("j-3"));
    EXPECT_EQ(c.fleet.starts, 3);
    c.answerable("j-1", "withdrawn");
    c.answerable("j-3", "running");
}

// Whoever tells of a cancellation vouches for it, whoever committed it and whatever the answer belongs to:
// here the commit's own answer is lost, the outage begins, and another node tells it from memory.
TEST(Meetings, ToldFromMemoryInsideAnOutage) {
    for (const bool by_submission : {false, true}) {
        Meeting c(by_submission ? "told_by_submission" : "told_by_poll");
        c.start({"j-1", "j-2"});
        c.refused = {c.old};
        c.lost_commit_answers = {c.other};
        EXPECT_EQ(c.cancel(c.other, "j-1")->status, 503);  // applied, and nobody was told
        c.outage_begins();
        c.run(1);
        const auto r = by_submission ? c.submit(c.third, "j-1") : c.poll(c.third, "j-1");
        EXPECT_NE(r->body.find("withdrawn"), std::string::npos);
        EXPECT_LT(c.gone_within("j-1", 70), 8);
        c.run(70);
        EXPECT_TRUE(c.fleet.runs("j-2"));
        EXPECT_EQ(c.fleet.killed_by_lease, 0);
        c.outage_ends();
        c.run(5);
        c.answerable("j-1", "withdrawn");
    }
}

// A controller that told a cancellation and ended at once vouches for nothing in its next life. The leader
// can't prove that it knows all, so the workers' leases end in time. Back within a second or much later.
TEST(Meetings, TheOneThatToldEndsAtOnce) {
    for (const double away : {0.2, 3.0, 100.0}) {
        Meeting c("teller_ends_" + std::to_string(static_cast<int>(away * 10)));
        c.start({"j-1", "j-2"});
        c.refused = {c.old};
        c.run(0.95);
        // No word to a peer between the answer and the end.
        c.cut_from_peers = {c.other};
        EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
        c.end(c.other);
        c.note("end     of c-" + std::to_string(c.other));
        c.outage_begins();
        c.cut_from_peers.clear();
        c.run(away);
        c.restart(c.other);
        EXPECT_LT(c.gone_within("j-1", 80), 65);
        c.run(20);
        c.outage_ends();
        c.run(10);
        c.answerable("j-1", "withdrawn");
        c.run(60);
        EXPECT_TRUE(c.fleet.runs("j-2"));  // again, if it met its lease
    }
}

// One that stands still between its commit and its answer tells when it goes on; by then it vouches for it.
TEST(Meetings, FrozenBetweenCommitAndAnswer) {
    Meeting c("frozen_teller");
    c.start({"j-1", "j-2"});
    c.refused = {c.old};
    const auto answer = c.send(c.other, "POST", "/submissions/j-1/cancel");
    const auto commits = c.requests["commit"];
    while (c.requests["commit"] == commits) c.run(0.005);
    c.run(0.01);
    c.note("freeze  of c-" + std::to_string(c.other));
    c.frozen = {c.other};
    c.outage_begins();
    c.run(10);
    c.frozen.clear();
    c.note("freeze  ends");
    c.run(0.1);
    ASSERT_TRUE(*answer);
    if ((*answer)->status == 200) c.fleet.told("j-1", "withdrawn");
    EXPECT_LT(c.gone_within("j-1", 70), 66);
    c.outage_ends();
    c.run(10);
    c.answerable("j-1", "withdrawn");
}

// The leader loses the state service and the other controllers, not its workers and users. Cancellations go
// through the new one; nothing starts twice, and the old one's workers find the new one in time.
TEST(Meetings, LeaderCutFromAllButItsWorkers) {
    Meeting c("cut_but_for_workers");
    c.start({"j-1", "j-2"});
    c.note("cut     c-" + std::to_string(c.old) + " from the state service and its peers");
    c.cut_from_state = c.cut_from_peers = {c.old};
    c.run(1);
    EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
    c.run(6);
    EXPECT_EQ(c.submit(c.third, "j-4")->status, 201);
    EXPECT_LT(c.gone_within("j-1", 70), 30);
    EXPECT_NE(c.leader(), c.old);
    c.run(60);
    EXPECT_TRUE(c.fleet.runs("j-2"));
    EXPECT_TRUE(c.fleet.runs("j-4"));
    EXPECT_EQ(c.fleet.killed_by_lease, 0);
    c.note("cut     ends");
    c.cut_from_state.clear(), c.cut_from_peers.clear();
    c.run(5);
    c.answerable("j-1", "withdrawn");
    c.answerable("j-2", "running");
    EXPECT_EQ(c.fleet.starts, 3);
}

// The stop meets a machine that hangs, is deaf or is mute, and goes on later: its lease ends it, or the next
// answer. In an outage that began with the leader refused alone, too.
TEST(Meetings, StopMeetsAMachineInTrouble) {
    for (const auto& [name, trouble] : machine_troubles)
        for (const double lasts : {8.0, 50.0}) {
            Meeting c(std::string("stop_meets_") + name + (lasts > 10 ? "_long" : ""));
            c.start({"j-1", "j-2"});
            c.refused = {c.old};
            const auto machine = c.fleet.machine_of("j-1").id;
            EXPECT_EQ(c.fleet.machine_of("j-2").id, machine);
            c.note(std::string(name) + "    " + machine);
            c.fleet.machines.at(machine).trouble = trouble;
            EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
            c.outage_begins();
            c.run(lasts);
            c.note("machine is well again");
            if (c.fleet.machines.contains(machine)) c.fleet.machines.at(machine).trouble = {};
            EXPECT_LT(c.gone_within("j-1", 70), 8);
            c.run(20);
            EXPECT_EQ(c.fleet.runs("j-2"), lasts < 10);  // the long ones met their lease
            c.outage_ends();
            c.run(5);
            c.answerable("j-1", "withdrawn");
            EXPECT_EQ(c.fleet.starts_after_told, 0);
        }
}

// The leader hears of a cancellation when its lease is over, from a peer, inside an outage; the machine
// reaches no controller. The stop goes there by a direct command all the same: it needs no lease.
TEST(Meetings, StopsNeedNoLease) {
    Meeting c("stops_need_no_lease");
    c.start({"j-1", "j-2"});
    c.refused = {c.old};
    c.cut_from_peers = {c.old};
    EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
    c.outage_begins();
    c.run(6);
    c.fleet.machine_of("j-1").trouble.mute = true;
    EXPECT_TRUE(c.fleet.runs("j-1"));
    c.note("cut     from the peers ends");
    c.cut_from_peers.clear();
    EXPECT_LT(c.gone_within("j-1", 70), 5);
    EXPECT_TRUE(c.fleet.runs("j-2"));
    c.outage_ends();
}

// The leader ends while a machine can't be reached or doesn't hear the new one's answer, and a job of it is
// cancelled. What may still run there starts nowhere else, and what is over is gone in time.
TEST(Meetings, LeaderEndsWhileAMachineIsOutOfReach) {
    for (const auto& [name, trouble] : machine_troubles)
        for (const double lasts : {20.0, 45.0}) {
            Meeting c(std::string("leader_ends_") + name + (lasts > 30 ? "_long" : ""));
            c.start({"j-1", "j-2", "j-3"});
            const auto machine = c.fleet.machine_of("j-1").id;
            c.fleet.machines.at(machine).trouble = trouble;
            c.note(std::string(name) + "    " + machine);
            c.run(1);
            c.end(c.old);
            c.note("end     of c-" + std::to_string(c.old));
            c.run(8);
            EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
            c.run(lasts - 8);
            if (c.fleet.machines.contains(machine)) c.fleet.machines.at(machine).trouble = {};
            c.note("machine is well again");
            c.restart(c.old);
            EXPECT_LT(c.gone_within("j-1", 70), 45);
            c.run(60);
            EXPECT_TRUE(c.fleet.runs("j-2"));
            EXPECT_TRUE(c.fleet.runs("j-3"));
            c.answerable("j-1", "withdrawn");
            EXPECT_EQ(c.fleet.starts_after_told, 0);
        }
}

// A cancellation, a question and a repeated submission meet the end of a job's last task. Whichever is first
// holds; the referee sees what goes back and what is told too early.
TEST(Meetings, UsersMeetTheEndOfTheLastTask) {
    Meeting c("meets_the_end");
    std::vector<std::string> jobs;
    for (int i = 1; i <= 6; ++i) {
        jobs.push_back("j-" + std::to_string(i));
        c.fleet.run_s[jobs.back() + "/0"] = 20;
        EXPECT_EQ(c.submit(0, jobs.back())->status, 201);
    }
    c.run_to_first_end(jobs.size());
    for (int n = 0;
         const auto& id : jobs) {  // 0.05 s apart, around the reports and commits that tell of the end
        const auto r = c.cancel(n % 3, id);
        EXPECT_EQ(r->status, 200);
        EXPECT_EQ(c.submit((n + 1) % 3, id)->status, 200);
        EXPECT_EQ(c.poll((n + 2) % 3, id)->status, 200);
        c.run(0.05 * ++n);
    }
    c.run(10);
    for (const auto& id : jobs)
        for (int n = 0; n < 3; ++n) EXPECT_EQ(c.cancel(n, id)->status, 200);
}

// Leaders change ten times in two minutes; the ended ones are back within a moment, some inside an outage.
TEST(Meetings, TenLeadersInTwoMinutes) {
    for (const bool outages : {false, true}) {
        Meeting c(outages ? "ten_leaders_outages" : "ten_leaders");
        c.start({"j-1", "j-2", "j-3"});
        for (int i = 0; i < 10; ++i) {
            const int l = c.leader();
            if (outages && i % 3 == 1) {
                c.outage_begins();
                c.run(2);
            }
            if (l >= 0) c.end(l);
            c.run(i % 2 == 0 ? 0.3 : 3);
            if (l >= 0) c.restart(l);
            if (i == 4) c.cancel((l + 1) % 3, "j-1");
            c.run(5);
            if (c.state_out) c.outage_ends();
            c.run(3);
        }
        EXPECT_EQ(c.cancel(0, "j-1")->status, 200);
        EXPECT_LT(c.gone_within("j-1", 60), 30);
        c.run(60);
        EXPECT_TRUE(c.fleet.runs("j-2"));
        EXPECT_TRUE(c.fleet.runs("j-3"));
        c.answerable("j-1", "withdrawn");
        EXPECT_EQ(c.fleet.starts_after_told, 0);
    }
}

// A team is at its limit when the leader changes, a machine of it can't be asked, and a cancellation falls
// into that spell: what the machine may still run counts until it is proven off.
TEST(Meetings, TeamAtItsLimitAcrossATakeover) {
    Meeting c("limit_across_takeover");
    const boost::json::object capped{{"Crew", "capped"}};
    for (const auto* id : {"j-1", "j-2", "j-3", "j-4"}) EXPECT_EQ(c.submit(0, id, capped)->status, 201);
    c.run(15);
    EXPECT_EQ(c.fleet.running(), 2U);
    const std::string running = c.fleet.runs("j-1") ? "j-1" : "j-2";
    const auto machine = c.fleet.machine_of(running).id;
    c.fleet.machines.at(machine).trouble.hung = true;
    c.end(c.leader());
    c.run(7);
    EXPECT_EQ(c.cancel(c.leader(), running)->status, 200);
    c.run(25);
    if (c.fleet.machines.contains(machine)) c.fleet.machines.at(machine).trouble.hung = false;
    c.run(60);
    EXPECT_EQ(c.fleet.running(), 2U);
    EXPECT_FALSE(c.fleet.runs(running));
}

// Copies of reports come later, from seconds to well over a lease, also those of an earlier term, session or
// attempt; and reports held back until a new leader has acted arrive there.
TEST(Meetings, LateReportsMeetANewLeader) {
    for (const double after : {4.0, 20.0, 60.0}) {
        Meeting c("late_reports_" + std::to_string(static_cast<int>(after)));
        c.fleet.copy_after_s = after;
        c.start({"j-1", "j-2"});
        const auto machine = c.fleet.machine_of("j-1").id;
        c.fleet.machines.at(machine).trouble.hung = true;
        c.run(2);
        c.end(c.old);
        c.run(40);  // a session is lost
        if (c.fleet.machines.contains(machine)) c.fleet.machines.at(machine).trouble.hung = false;
        c.restart(c.old);
        c.run(20);
        EXPECT_EQ(c.cancel(0, "j-1")->status, 200);
        c.run(after + 20);
        EXPECT_FALSE(c.fleet.runs("j-1"));
        EXPECT_TRUE(c.fleet.runs("j-2"));
    }
    Meeting c("held_reports");
    c.start({"j-1", "j-2"});
    c.fleet.hold_reports = true;
    c.run(3);
    c.end(c.old);
    c.run(8);
    EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
    c.run(45);
    c.note("reports arrive");
    c.fleet.hold_reports = false;
    c.run(60);
    EXPECT_FALSE(c.fleet.runs("j-1"));
    EXPECT_TRUE(c.fleet.runs("j-2"));
    EXPECT_EQ(c.fleet.starts_after_told, 0);
}

// Transactions get no answer and are carried out late, after newer ones of the same controller.
TEST(Meetings, TransactionsAreCarriedOutLate) {
    for (const double late : {2.5, 8.0}) {
        Meeting c("late_writes_" + std::to_string(static_cast<int>(late)));
        c.start({"j-1", "j-2"});
        c.late_writes_s = late;
        c.note("writes  are late");
        c.submit(0, "j-3");
        c.cancel(1, "j-1");
        c.submit(2, "j-3");
        c.cancel(2, "j-1");
        c.run(3);
        c.late_writes_s = 0;
        c.note("writes  are answered");
        EXPECT_TRUE(c.submit(0, "j-3")->status / 100 == 2);
        EXPECT_EQ(c.cancel(0, "j-1")->status, 200);
        c.run(40);
        c.answerable("j-1", "withdrawn");
        EXPECT_TRUE(c.fleet.runs("j-2"));
        EXPECT_TRUE(c.fleet.runs("j-3"));
        EXPECT_FALSE(c.fleet.runs("j-1"));
        EXPECT_EQ(c.fleet.starts_after_told, 0);
    }
}

// All controllers are away for longer than a lease, just after a cancellation; one returns before the others.
TEST(Meetings, AllControllersAwayForLongerThanALease) {
    for (const double away : {0.5, 50.0}) {
        Meeting c(away < 1 ? "all_away_a_moment" : "all_away");
        c.start({"j-1", "j-2"});
        EXPECT_EQ(c.cancel(c.other, "j-1")->status, 200);
        for (int n = 0; n < 3; ++n) c.end(n);
        c.run(away);
        c.restart(c.third);
        c.run(10);
        c.restart(c.old), c.restart(c.other);
        EXPECT_LT(c.gone_within("j-1", 60), 30);
        c.run(60);
        EXPECT_TRUE(c.fleet.runs("j-2"));
        c.answerable("j-1", "withdrawn");
        EXPECT_EQ(c.fleet.starts_after_told, 0);
    }
}

// The tasks of a job end far apart, with a change of leader between the ends.
TEST(Meetings, EndsFarApartAcrossLeaders) {
    Meeting c("ends_far_apart");
    c.fleet.run_s = {{"j-1/0", 5}, {"j-1/1", 35}, {"j-1/2", 75}};
    EXPECT_EQ(c.submit(0, "j-1", {{"Pieces", 3}})->status, 201);
    for (int i = 0; i < 24; ++i) {
        c.run(5);
        if (i == 4 || i == 10) {
            const int l = c.leader();
            c.end(l);
            c.run(0.5);
            c.restart(l);
            c.run(3);
        }
        c.poll(i % 3, "j-1");
    }
    EXPECT_NE(c.poll(0, "j-1")->body.find("done"), std::string::npos);
    EXPECT_EQ(c.fleet.starts, 3);
}

// A zone with workers and the leader is cut off for longer than a lease, and a job there is cancelled. Tasks
// of a job that is bound to the zone lose their machine meanwhile.
TEST(Meetings, ZoneCutOffWithTheLeader) {
    Meeting c("zone_cut");
    c.fleet.run_s = {{"j-3/0", 90}, {"j-3/1", 90}, {"j-3/2", 90}};
    for (const auto* id : {"j-1", "j-2"}) EXPECT_EQ(c.submit(0, id, {{"Yard", "a"}})->status, 201);
    EXPECT_EQ(c.submit(0, "j-3", {{"Yard", "b"}, {"Pieces", 3}})->status, 201);
    c.run(20);
    EXPECT_EQ(c.fleet.running(), 5U);
    const int l = c.leader();
    c.cut_from_state = c.cut_from_peers = {l};
    c.fleet.cut_zone = "a", c.fleet.cut_zone_node = l;
    c.note("cut     zone a with c-" + std::to_string(l));
    c.run(2);
    EXPECT_EQ(c.cancel((l + 1) % 3, "j-1")->status, 200);
    c.fleet.machines.erase(c.fleet.machine_of("j-3").id);
    c.run(60);
    EXPECT_FALSE(c.fleet.runs("j-1"));
    c.cut_from_state.clear(), c.cut_from_peers.clear(), c.fleet.cut_zone.clear();
    c.note("cut     ends");
    c.run(60);
    EXPECT_TRUE(c.fleet.runs("j-2"));
    c.run(60);
    c.answerable("j-1", "withdrawn");
    c.answerable("j-3", "done");
}

// The state service is slow, then refuses the leader alone, then everybody for longer than cancel_s, while
// users cancel and ask.
TEST(Meetings, SlowThenRefusingThenOut) {
    Meeting c("slow_then_out");
    c.start({"j-1", "j-2", "j-3"});
    // Renewals are as patient as everything else: a slow service unseats no leader, and work goes on.
    c.state_slow_s = 1.2;
    c.run(20);
    EXPECT_EQ(c.leader(), c.old);
    EXPECT_EQ(c.submit(c.other, "j-4")->status, 201);
    c.run(25);
    EXPECT_TRUE(c.fleet.runs("j-4"));
    c.state_slow_s = 0.7;
    c.cancel(c.old, "j-1");
    c.refused = {c.old};
    c.run(1);
    c.cancel(c.other, "j-2");
    c.poll(c.third, "j-2");
    c.state_slow_s = 0;
    c.outage_begins();
    for (int i = 0; i < 14; ++i) {
        c.run(5);
        const auto r = c.poll(i % 3, i % 2 == 0 ? "j-1" : "j-2");
        EXPECT_TRUE(r->status == 200 || (r->status == 503 && r->retry_after_s > 0)) << r->status;
    }
    c.outage_ends();
    c.run(5);
    EXPECT_EQ(c.cancel(0, "j-1")->status, 200);
    EXPECT_EQ(c.cancel(0, "j-2")->status, 200);
    EXPECT_LT(c.gone_within("j-1", 20), 10);
    EXPECT_LT(c.gone_within("j-2", 20), 10);
    c.run(40);
    EXPECT_TRUE(c.fleet.runs("j-3"));
    EXPECT_EQ(c.fleet.starts_after_told, 0);
}

// More work than room, urgent and not, and half of the machines are lost with the leader: afterwards nothing
// waits while a machine that fits has room.
TEST(Meetings, MoreWorkThanRoomAndALeaderLost) {
    Meeting c("more_than_room");
    c.fleet.capacity = 3;
    c.fleet.default_run_s = 15;
    for (int i = 1; i <= 24; ++i)
        EXPECT_EQ(
            c.submit(i % 3, "j-" + std::to_string(i), {{"Urgency", i % 4 == 0 ? "high" : "best_effort"}})
                ->status,
            201);
    c.run(15);
    c.fleet.machines.erase(c.fleet.machines.begin());
    const int l = c.leader();
    c.end(l);
    c.run(0.4);
    c.restart(l);
    c.run(200);
    for (int i = 1; i <= 24; ++i)
        EXPECT_NE(c.poll(0, "j-" + std::to_string(i))->body.find("done"), std::string::npos) << i;
}

// What can't be taken is told so at once, whatever the state service does; what can't be decided is 503; and
// repeats are answered by the present state.
TEST(Meetings, OddRequestsMeetAStateServiceInTrouble) {
    Meeting c("odd_requests");
    c.fleet.run_s["j-1/0"] = 5;
    c.start({"j-1", "j-2"});
    c.run(15);
    for (const bool out : {false, true}) {
        if (out) c.outage_begins();
        c.run(5);
        const double from = c.now();
        EXPECT_EQ(c.ask(0, "POST", "/submissions", R"({"NameId":"j-9"})")->status, 400);
        EXPECT_EQ(c.submit(0, "j-9", {{"Pieces", 0}})->status, 400);
        EXPECT_EQ(c.submit(0, "j-9", {{"Spread", nullptr}})->status, 400);
        EXPECT_LT(c.now(), from + 0.1);
        EXPECT_EQ(c.submit(0, "j-9", {{"Vcpus", 500}})->status, out ? 503 : 422);
        EXPECT_EQ(c.submit(0, "j-9", {{"Crew", "nobody"}})->status, out ? 503 : 422);
        EXPECT_EQ(c.submit(1, "j-9", {{"Crew", "capped"}, {"Accelerators", 3}})->status, out ? 503 : 422);
        EXPECT_LT(c.now(), from + 5);
        // Known from before the outage on every node.
        for (int n = 0; n < 3; ++n) {
            EXPECT_NE(c.cancel(n, "j-1")->body.find("done"), std::string::npos);
            EXPECT_NE(c.submit(n, "j-1")->body.find("done"), std::string::npos);
            EXPECT_EQ(c.submit(n, "j-2")->status, out ? 503 : 200);
        }
    }
    c.outage_ends();
    c.run(3);
    EXPECT_EQ(c.poll(0, "j-9")->status, 404);
    c.answerable("j-2", "running");
}

}  // namespace
}  // namespace pineroad::test
