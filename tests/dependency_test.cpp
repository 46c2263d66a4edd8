// Jobs that depend on others: what the leader starts and writes (World), and what whole nodes tell users
// while troubles come (Cluster). The fleet's referee judges too_early and orphaned with the other rules.
#include <boost/json.hpp>
#include <ctime>

#include "cluster.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;
namespace records = wire::records;
using model::ExitCause;
using model::TaskState;

model::JobSpec after(const std::string& id, std::vector<std::string> dependencies, std::uint32_t tasks = 1) {
    auto spec = array_job(id, tasks);
    spec.dependencies = std::move(dependencies);
    return spec;
}

// Its first task is placed, started and running.
void run_task(World& w, const std::string& task, const std::string& machine) {
    w.decide(machine);
    w.set(task, TaskState::running);
    w.handle_heartbeat(machine);
}

// --- the leader --------------------------------------------------------------------------------------------

// The last task of a dependency has ended and its leader knows; a takeover comes before the record. The new
// leader knows of the end by a report alone, and starts what waits only after its own commit.
TEST(Dependencies, NoStartBetweenAnEndAndItsRecord) {
    World w("dependency_end_in_takeover");
    w.lead();
    w.worker("m-1");
    w.meet("m-1");
    w.submit(array_job("j-1", 1));
    w.submit(after("j-2", {"j-1"}));
    run_task(w, "j-1/0", "m-1");
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.handle_heartbeat("m-1");
    w.plan();
    EXPECT_EQ(w.cluster_state().jobs().at("j-2").placements.size(), 0U);
    w.lead();
    w.meet("m-1");
    w.plan();
    EXPECT_TRUE(w.cluster_state().jobs().at("j-1").is_finished());
    EXPECT_EQ(w.cluster_state().jobs().at("j-2").placements.size(), 0U);
    w.commit();
    w.decide("m-1");
    EXPECT_EQ(w.cluster_state().jobs().at("j-2").placements.size(), 1U);
    EXPECT_EQ(w.starts, 2);
}

// A leader that took over after the dependency had ended reads that from its final record, not from its
// absence among the live ones; until it has, nothing starts.
TEST(Dependencies, AbsenceIsNoEnd) {
    World w("dependency_not_read");
    w.lead();
    w.worker("m-1");
    w.submit(array_job("j-1", 1));
    w.submit(after("j-2", {"j-1"}));
    w.state.rows.erase(records::job_key("j-1"));
    w.lead();
    w.meet("m-1");
    w.decide("m-1");
    EXPECT_EQ(w.starts, 0);
    w.state.put(records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::done, w.wall_ms()}));
    w.lead();
    w.meet("m-1");
    w.decide("m-1");
    EXPECT_EQ(w.starts, 1);
}

// A job that waits for others asks for nothing: no room, no rental, no place in the line. Its wait counts
// from when it is ready, also under a later leader; its deadline from its submission.
TEST(Dependencies, WaitingCountsFromWhenItIsReady) {
    World w("dependency_wait_counts");
    w.lead();
    w.worker("m-90");
    w.meet("m-90");
    auto first = array_job("j-1", 1);
    first.allowed_machine_types = std::vector<std::string>{"g2"};  // there is none
    w.submit(first);
    auto second = after("j-2", {"j-1"}, 6);
    second.estimate_s = 10;
    w.submit(second);
    w.decide("m-90");
    const auto wanted = w.rent();
    ASSERT_EQ(wanted.size(), 1U);
    EXPECT_EQ(wanted[0].type, "g2");
    w.pass(600);
    for (const auto& [id, worker] : w.workers) w.meet(id);
    w.decide();
    const auto machine = w.cluster_state().jobs().at("j-1").placements.at(0).machine;
    w.handle_heartbeat(machine);
    w.set("j-1/0", TaskState::exited, ExitCause::done);
    w.handle_heartbeat(machine);
    w.commit();
    w.lead();
    for (const auto& [id, worker] : w.workers) w.meet(id);
    w.decide();
    EXPECT_EQ(w.cluster_state().jobs().at("j-2").placements.size(), 6U);
    EXPECT_LT(w.cluster_state().jobs().at("j-2").xfactor_at_start, 1.5);
}

// Jobs after a cancelled one get their final records in batches that keep to the limits, across a takeover.
TEST(Dependencies, WithdrawnRecordsAcrossATakeover) {
    World w("dependency_fan_withdrawn");
    w.config.max_transaction_changes = 4;
    w.config.value_kb = 2;
    w.lead();
    w.submit(array_job("j-0", 1));
    for (int i = 1; i <= 8; ++i) w.submit(after("j-" + std::to_string(i), {"j-0"}));
    w.cancel("j-0");
    for (int i = 0; i < 2; ++i) {
        const auto batch = w.take_write_batch();
        ASSERT_TRUE(batch);
        w.apply(*batch);
    }
    EXPECT_EQ(w.status("j-1"), "withdrawn");
    EXPECT_EQ(w.status("j-8"), "accepted");
    w.lead();
    w.commit();
    for (int i = 1; i <= 8; ++i) EXPECT_EQ(w.status("j-" + std::to_string(i)), "withdrawn");
}

// Some thousand waiting jobs cost a round next to nothing.
TEST(Dependencies, WaitingJobsCostNoRoundItsTime) {
    World w("dependency_many_waiting");
    w.lead();
    for (int i = 0; i < 50; ++i) {
        w.worker("m-" + std::to_string(100 + i));
        w.meet("m-" + std::to_string(100 + i));
    }
    // Processor time: what else the machine does must not decide.
    const auto rounds = [&] {
        const auto from = std::clock();
        for (int i = 0; i < 20; ++i) {
            w.pass(1);
            w.plan();
        }
        return static_cast<double>(std::clock() - from) / CLOCKS_PER_SEC;
    };
    const double without = rounds();
    w.submit(array_job("j-first", 1));
    std::string last = "j-first";
    for (int i = 0; i < 4000; ++i) {
        auto spec = after("j-" + std::to_string(i), {last});
        if (i % 100 != 0) last = spec.id;
        spec.accepted_ms = w.wall_ms();
        w.add_silently(spec);
    }
    const double with = rounds();
    // 20 rounds over 4,000 jobs; a picture of each would take many times as long, sanitizers or not.
    EXPECT_LT(with, without + 1.0);
    EXPECT_LE(w.cluster_state().jobs().at("j-first").placements.size(), 1U);
}

// --- whole nodes -------------------------------------------------------------------------------------------

json::object waits_on(const std::vector<std::string>& ids) {
    json::array list;
    for (const auto& id : ids) list.emplace_back(id);
    return {{"WaitsOn", list}};
}

class Pipelines : public Cluster {
   public:
    explicit Pipelines(const std::string& name, const ClusterOptions& options = {})
        : Cluster(name, 3, options) {
        fleet.capacity = 6;
        run(5);  // a leader, and the controllers have seen each other
    }
    int accept(int node, const std::string& id, const std::vector<std::string>& before = {}) {
        const auto r = submit(node, id, before.empty() ? json::object{} : waits_on(before));
        return r ? r->status : 0;
    }
    std::string status(int node, const std::string& id) {
        const auto r = poll(node, id);
        if (!r || r->status != 200) return r ? std::to_string(r->status) : "no answer";
        return std::string(json::parse(r->body).at("Status").as_string());
    }
    void everywhere(const std::string& id, const std::string& expected) {
        for (int n = 0; n < nodes(); ++n) EXPECT_EQ(status(n, id), expected) << id << " at c-" << n;
    }
    void until_done(const std::string& id, double at_most) {
        for (const double until = now() + at_most; now() < until && status(0, id) != "done";) run(1);
        EXPECT_EQ(status(0, id), "done");
    }
};

// Four stages, a diamond among them, through to the end; the last is submitted when the others are over.
TEST(Pipelines, RunInOrder) {
    Pipelines c("pipeline_in_order");
    c.fleet.default_run_s = 5;
    EXPECT_EQ(c.accept(0, "j-1"), 201);
    EXPECT_EQ(c.accept(1, "j-2", {"j-1"}), 201);  // accepted a millisecond ago by another node
    EXPECT_EQ(c.accept(2, "j-3", {"j-1", "j-1"}), 201);
    EXPECT_EQ(c.accept(0, "j-4", {"j-2", "j-3"}), 201);
    EXPECT_EQ(c.status(1, "j-4"), "queued");
    c.until_done("j-4", 60);
    EXPECT_EQ(c.accept(1, "j-5", {"j-4", "j-1"}), 201);
    c.until_done("j-5", 30);
    EXPECT_EQ(c.fleet.starts, 5);
}

// What is wrong with a list is said at once, and a job that is known gets its state whatever the list says.
TEST(Pipelines, BadListsAreRefusedWithAReason) {
    Pipelines c("pipeline_bad_lists");
    EXPECT_EQ(c.accept(0, "j-1"), 201);
    for (const auto& bad :
         {json::value("j-1"), json::value(7), json::value(json::object{}), json::value(json::array{1}),
          json::value(json::array{"x-1"}), json::value(json::array{nullptr})}) {
        const auto r = c.submit(1, "j-2", {{"WaitsOn", bad}});
        EXPECT_EQ(r->status, 400);
        EXPECT_NE(r->body.find("WaitsOn"), std::string::npos);
    }
    const auto unknown = c.submit(1, "j-2", waits_on({"j-1", "j-404"}));
    EXPECT_EQ(unknown->status, 422);
    EXPECT_NE(unknown->body.find("j-404"), std::string::npos);
    const auto itself = c.submit(1, "j-2", waits_on({"j-2"}));
    EXPECT_EQ(itself->status, 422);
    EXPECT_NE(itself->body.find("j-2"), std::string::npos);
    EXPECT_EQ(c.submit(0, "j-3", {{"Shape", "standing"}})->status, 201);
    const auto service = c.submit(1, "j-2", waits_on({"j-3"}));
    EXPECT_EQ(service->status, 422);
    EXPECT_NE(service->body.find("j-3"), std::string::npos);
    EXPECT_EQ(c.submit(1, "j-2", {{"WaitsOn", nullptr}})->status, 201);
    EXPECT_EQ(c.submit(2, "j-4", {{"WaitsOn", json::array{}}})->status, 201);
    EXPECT_EQ(c.submit(2, "j-2", waits_on({"j-404"}))->status, 200);
    // Without the state service nobody can tell that a job was never accepted.
    c.refused = {1};
    const auto undecidable = c.submit(1, "j-5", waits_on({"j-404"}));
    EXPECT_EQ(undecidable->status, 503);
    EXPECT_GT(undecidable->retry_after_s, 0);
}

// Right after a cancellation every node says the same of all that comes after, also in an outage, from
// memory.
TEST(Pipelines, CancelledWithWhatTheyDependOn) {
    Pipelines c("pipeline_cancelled");
    EXPECT_EQ(c.accept(0, "j-1"), 201);
    std::string last = "j-1";
    for (int i = 1; i <= 50; ++i) {
        const auto id = "j-c" + std::to_string(i);
        EXPECT_EQ(c.accept(i % 3, id, {last}), 201);
        last = id;
    }
    EXPECT_EQ(c.accept(0, "j-2", {"j-1"}), 201);
    EXPECT_EQ(c.accept(1, "j-3", {"j-1", "j-2"}), 201);
    c.run(15);
    EXPECT_EQ(c.cancel(1, "j-1")->status, 200);
    for (const auto* id : {"j-c1", "j-c50", "j-2", "j-3"}) c.everywhere(id, "withdrawn");
    EXPECT_EQ(c.accept(2, "j-4", {"j-c50"}), 201);
    EXPECT_EQ(c.status(0, "j-4"), "withdrawn");
    EXPECT_EQ(json::parse(c.cancel(0, "j-c7")->body).at("Status"), "withdrawn");
    c.run(60);
    c.everywhere("j-c25", "withdrawn");
    EXPECT_EQ(c.fleet.starts, 1);
}

// Cancelled as an outage of all begins, and told: a peer that was told vouches for what it heard, and all
// that comes after stays withdrawn across the outage, a takeover and a new life of every process.
TEST(Pipelines, FanCancelledInAnOutageAndAcrossATakeover) {
    Pipelines c("pipeline_fan_in_outage");
    EXPECT_EQ(c.accept(0, "j-1"), 201);
    for (int i = 0; i < 500; ++i) c.state.put_job(after("j-f" + std::to_string(i), {"j-1"}), c.now());
    c.run(2);
    EXPECT_EQ(c.status(2, "j-f499"), "queued");
    const int old = c.leader(), teller = (old + 1) % 3;
    EXPECT_EQ(c.cancel(teller, "j-1")->status, 200);
    c.note("outage  of the state service");
    c.state_out = true;
    c.run(3);
    EXPECT_EQ(c.status(teller, "j-f0"), "withdrawn");
    EXPECT_EQ(c.status(old, "j-f499"), "withdrawn");
    c.end(old);
    c.run(10);
    c.note("outage  ends");
    c.state_out = false;
    c.state.extend_leases(c.now());
    c.restart(old);
    c.run(12);
    c.everywhere("j-f250", "withdrawn");
    for (int n = 0; n < 3; ++n) c.restart(n);  // no process remembers anything
    c.run(8);
    c.everywhere("j-f499", "withdrawn");
    c.run(90);
    EXPECT_EQ(c.state.live_jobs(), 0U);
    EXPECT_EQ(c.fleet.starts_after_told, 0);
}

// A cancellation meets the end of a dependency: whichever is first holds for all after it.
TEST(Pipelines, CancelMeetsTheEndOfADependency) {
    Pipelines c("pipeline_cancel_meets_end");
    std::vector<std::string> jobs;
    for (int i = 1; i <= 5; ++i) {
        jobs.push_back("j-" + std::to_string(i));
        c.fleet.run_s[jobs.back() + "/0"] = 20;
        EXPECT_EQ(c.accept(0, jobs.back()), 201);
        EXPECT_EQ(c.accept(0, jobs.back() + "next", {jobs.back()}), 201);
    }
    c.run_to_first_end(jobs.size());
    c.fleet.default_run_s = 3;
    for (int n = 0; const auto& id : jobs) {
        const auto r = c.cancel(n % 3, id);
        const auto told = std::string(json::parse(r->body).at("Status").as_string());
        const auto next = c.status((n + 1) % 3, id + "next");
        EXPECT_EQ(told == "withdrawn", next == "withdrawn") << id;
        c.run(0.04 * ++n);
    }
    c.run(30);
    for (const auto& id : jobs)
        EXPECT_EQ(c.status(0, id) == "done", c.status(1, id + "next") == "done") << id;
}

// Dependencies that ended long ago are in no memory: every process has begun anew since. A list may name one
// of another team, and a job may arrive while what it needs is being cancelled.
TEST(Pipelines, DependenciesOverLongAgo) {
    Pipelines c("pipeline_long_ago");
    c.fleet.run_s["j-1/0"] = 2;
    c.fleet.default_run_s = 40;
    EXPECT_EQ(c.submit(0, "j-1", {{"Crew", "capped"}})->status, 201);
    EXPECT_EQ(c.accept(0, "j-2"), 201);
    EXPECT_EQ(c.cancel(1, "j-2")->status, 200);
    EXPECT_EQ(c.accept(0, "j-3"), 201);
    EXPECT_EQ(c.accept(0, "j-4", {"j-3", "j-1"}), 201);
    c.until_done("j-1", 30);
    for (int n = 0; n < 3; ++n) c.restart(n);
    c.run(8);
    EXPECT_EQ(c.accept(0, "j-5", {"j-1"}), 201);
    EXPECT_EQ(c.accept(1, "j-6", {"j-2"}), 201);
    EXPECT_EQ(c.status(2, "j-6"), "withdrawn");
    EXPECT_EQ(c.accept(1, "j-6", {"j-2"}), 200);
    EXPECT_EQ(c.accept(2, "j-7"), 201);
    const auto cancelling = c.send(0, "POST", "/submissions/j-7/cancel");
    EXPECT_EQ(c.accept(1, "j-8", {"j-7"}), 201);
    c.run(1);
    ASSERT_TRUE(*cancelling);
    c.everywhere("j-8", "withdrawn");
    c.until_done("j-4", 120);  // its first dependency was over before the new leader's life
    c.until_done("j-5", 60);
}

// The first answer of a new process, a moment after it has read the live records: the end of the first job is
// not among these, so that it has to be looked up before anybody is told.
TEST(Pipelines, FirstAnswerOfANewProcess) {
    Pipelines c("pipeline_first_answer");
    for (int n = 0; n < 3; ++n) c.end(n);
    c.state.put_job(after("j-2", {"j-1"}), c.now());
    c.state.put_job(after("j-3", {"j-2"}), c.now());
    c.state.put(records::outcome_key("j-1"), records::outcome_json({model::FinalStatus::cancelled, 1}));
    c.run(1);
    c.restart(1);
    std::string first;
    for (int i = 0; i < 400 && first.size() != std::string("withdrawn").size(); ++i) {
        const auto answer = c.send(1, "GET", "/submissions/j-3");
        for (int wait = 0; wait < 400 && !*answer; ++wait) c.run(0.005);
        ASSERT_TRUE(*answer);
        if ((*answer)->status == 503) continue;
        ASSERT_EQ((*answer)->status, 200);
        first = std::string(json::parse((*answer)->body).at("Status").as_string());
        EXPECT_EQ(first, "withdrawn");
        break;
    }
    EXPECT_EQ(first, "withdrawn");
}

// A few hundred names are accepted at the smallest limits, in one transaction; beyond the bound the user is
// told, and the job is not known.
TEST(Pipelines, LongListsAreAcceptedWholeOrNotAtAll) {
    ClusterOptions small;
    small.adjust = [](config::Settings& s) { s.value_kb = 2, s.max_transaction_changes = 4; };
    Pipelines c("pipeline_long_lists", small);
    c.state.value_bytes = 2048, c.state.max_transaction_changes = 4;
    c.fleet.capacity = 0;
    std::vector<std::string> names;
    for (int i = 0; i < 500; ++i) names.push_back("j-" + std::to_string(100000 + i));
    for (const auto& id : names) c.state.put_job(after(id, {}), c.now());
    c.run(1);
    EXPECT_EQ(c.accept(0, "j-all", names), 201);
    for (int n = 0; n < 3; ++n) EXPECT_EQ(c.accept(n, "j-all", names), 200);
    c.everywhere("j-all", "queued");
    c.restart((c.leader() + 1) % 3);
    c.run(6);
    EXPECT_EQ(c.cancel(0, names.back())->status, 200);
    c.everywhere("j-all", "withdrawn");
    c.run(30);
    EXPECT_EQ(c.state.rows_under(records::dependencies_prefix), 0U);
    auto more = names;
    more.pop_back();
    more.insert(more.end(), {"j-100000", "j-1", "j-2"});
    EXPECT_EQ(c.accept(0, "j-more", more), 400);
    std::vector<std::string> long_names;
    for (int i = 0; i < 300; ++i) long_names.push_back("j-" + std::string(32, 'x') + std::to_string(i));
    for (const auto& id : long_names) c.state.put_job(after(id, {}), c.now());
    c.run(1);
    EXPECT_EQ(c.accept(0, "j-long", long_names), 400);
    c.everywhere("j-long", "404");
    EXPECT_EQ(c.state.refused_commits, 0);
}

}  // namespace
}  // namespace pineroad::test
