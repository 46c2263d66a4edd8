// The earlier version and the current one, side by side and on each other's data. tests/fixtures contains
// data that version 0.4 wrote; tests/fixtures/README.md says how it was made.
#include <boost/json.hpp>
#include <fstream>

#include "cluster_simulator.hpp"
#include "leader_simulator.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;
namespace records = wire::records;
using model::ExitCause;

json::object fixture() {
    std::ifstream in(std::string(PINEROAD_FIXTURES) + "/version-0.4.json");
    std::ostringstream text;
    text << in.rdbuf();
    return json::parse(text.str()).as_object();
}

std::string from_hex(const std::string& hex) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
    return bytes;
}

// A store with the records of version 0.4: a job of 240 tasks in one entry of 4 KB, a gang, and the progress
// of a job that its user has cancelled.
class StoreOfVersion04 : public LeaderSimulator {
   public:
    explicit StoreOfVersion04(const std::string& trace) : LeaderSimulator(trace) {
        const auto fixture_data = fixture();
        for (const auto& row : fixture_data.at("rows").as_array()) {
            const std::string key(row.at("key").as_string());
            store.rows[key] = {row.at("value"), row.at("stamp").to_number<std::uint64_t>()};
            store.revision = std::max(store.revision, store.rows[key].mod_revision);
        }
        for (const auto* id : {"j-000001", "j-000002", "j-000003", "j-000004"})
            specs[id] = array_job(id, id == std::string("j-000001") ? 240 : 4);
        config.max_value_kb = 2, config.current_max_value_kb = 16, config.max_transaction_changes = 4;
    }
    // Returns the machine of each task as a new leader would read it from the store now.
    std::map<std::uint32_t, std::string> read_placements(const std::string& job) {
        store::WatchCache watch_cache;
        for (const auto& [key, row] : store.rows)
            watch_cache.apply_put(key, row.value, row.mod_revision, now);
        cluster::ClusterState reader(config, tuning, 99, 1, now);
        reader.load(watch_cache, now);
        std::map<std::uint32_t, std::string> placements;
        for (const auto& [index, placement] : reader.jobs().at(job).placements)
            placements[index] = placement.machine;
        return placements;
    }
    void add_workers() {
        for (int i = 0; i < 50; ++i) add_worker("m-" + std::to_string(100000 + i));
    }
};

TEST(Upgrade, RecordsOfVersion04AreRead) {
    StoreOfVersion04 simulator("upgrade_records");
    simulator.begin_term();
    const auto& wide_job = simulator.leader_state().jobs().at("j-000001");
    EXPECT_EQ(wide_job.progress.done_count(), 20U);
    EXPECT_EQ(wide_job.placements.size(), 197U);
    EXPECT_FALSE(wide_job.sharded);
    EXPECT_EQ(simulator.leader_state().jobs().at("j-000002").placements.size(), 0U);  // no capacity
    const auto& cancelled_by_dependency = simulator.leader_state().jobs().at("j-000004");
    EXPECT_TRUE(cancelled_by_dependency.is_cancelled());
    // Placements are kept until the tasks are proven to have ended.
    EXPECT_EQ(cancelled_by_dependency.placements.size(), 3U);
    EXPECT_FALSE(simulator.leader_state().jobs().contains("j-000003"));
}

// The store's value limit is lowered while the store contains larger records. They are replaced by shards
// that fit, and a leader that takes over at any point reads every placement exactly once.
TEST(Upgrade, LargeRecordsAreReplacedByShards) {
    StoreOfVersion04 simulator("upgrade_split");
    simulator.sharding_allowed = true;
    simulator.begin_term();
    simulator.add_workers();
    const auto original_placements = simulator.read_placements("j-000001");
    const std::string released_machine = original_placements.begin()->second;
    simulator.workers.erase(released_machine);
    simulator.leader_state().machines_released({released_machine}, simulator.now);
    std::size_t batches = 0;
    while (const auto batch = simulator.next_write_batch()) {
        ASSERT_TRUE(simulator.apply_batch(*batch));  // the simulator checks the limits
        ++batches;
        for (const auto& [index, placement] : simulator.leader_state().jobs().at("j-000001").placements)
            EXPECT_EQ(simulator.read_placements("j-000001").at(index), placement.machine);
        for (const auto& [index, machine] : simulator.read_placements("j-000001"))
            EXPECT_EQ(original_placements.at(index), machine);
        if (batches != 1) continue;
        simulator.begin_term();  // between two batches; the new leader is told of the release again
        simulator.leader_state().machines_released({released_machine}, simulator.now);
    }
    EXPECT_GE(batches, 3U);
    const auto remaining_placements = simulator.read_placements("j-000001");
    for (const auto& [index, machine] : remaining_placements) EXPECT_NE(machine, released_machine);
    simulator.begin_term();
    EXPECT_TRUE(simulator.leader_state().jobs().at("j-000001").sharded);
    EXPECT_EQ(simulator.leader_state().jobs().at("j-000001").progress.done_count(), 20U);
    EXPECT_EQ(simulator.leader_state().jobs().at("j-000001").placements.size(), remaining_placements.size());
}

// No record is sharded while another controller may be of the earlier version. A record that is too large for
// the announced limit is written whole under the current limit, and is not written again once the store has
// rejected it.
TEST(Upgrade, RecordsAreNotShardedBeforeAllControllersReadShards) {
    StoreOfVersion04 simulator("upgrade_not_split");
    simulator.begin_term();
    simulator.add_workers();
    const auto released_machine = simulator.read_placements("j-000001").begin()->second;
    simulator.leader_state().machines_released({released_machine}, simulator.now);
    bool written_whole = false;
    const auto first = simulator.next_write_batch();
    ASSERT_TRUE(first);
    for (const auto& change : first->transaction.changes) {
        if (!change.value || !records::strip_prefix(change.key, records::segment_prefix)) continue;
        const auto segment = records::parse_segment(*change.value);
        for (const auto& [entry, progress] : segment->entries) {
            EXPECT_EQ(entry.shard, 0U);
            EXPECT_TRUE(!progress || !progress->covers_one_shard);
            written_whole |= entry.job == "j-000001";
        }
    }
    EXPECT_TRUE(written_whole);
    EXPECT_TRUE(simulator.leader_state().record_write_rejection());
    while (const auto batch = simulator.next_write_batch()) ASSERT_TRUE(simulator.apply_batch(*batch));
    simulator.leader_state().allow_sharding();
    simulator.leader_state().machines_released({simulator.read_placements("j-000001").begin()->second},
                                               simulator.now);
    simulator.advance(2);
    simulator.plan();
    while (const auto batch = simulator.next_write_batch()) ASSERT_TRUE(simulator.apply_batch(*batch));
    EXPECT_EQ(simulator.read_placements("j-000001").size(),
              simulator.leader_state().jobs().at("j-000001").placements.size());
}

// The earlier version requires its nine fields and ignores others. Its messages are read; they name no record
// format, which counts as format 1.
TEST(Upgrade, MessagesOfVersion04AreRead) {
    const auto fixture_data = fixture();
    const auto earlier =
        wire::parse_peer_message(from_hex(std::string(fixture_data.at("gossip").as_string())));
    ASSERT_TRUE(earlier);
    EXPECT_EQ(earlier->node, "c-1");
    EXPECT_EQ(earlier->cancelled.size(), 2U);
    EXPECT_EQ(earlier->record_format, 1U);
    EXPECT_FALSE(earlier->dependencies_requested);
    auto current = *earlier;
    current.record_format = records::record_format;
    current.dependencies_requested = true;
    const auto decoded = wire::parse_peer_message(wire::encode_peer_message(current));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->record_format, records::record_format);
    EXPECT_TRUE(decoded->dependencies_requested);
}

const json::object depends_on_first{{"WaitsOn", json::array{"j-1"}}};

// A job with dependencies is rejected with 503 while a controller of the earlier version is left, which would
// start the job at once. It is accepted within seconds after that controller's upgrade. Other jobs are always
// accepted.
TEST(Upgrade, DependenciesAreRejectedUntilAllControllersAreUpgraded) {
    ClusterSimulator cluster("upgrade_gate", 3, earlier_version());
    cluster.workers.cloud_capacity = 6;
    cluster.run(5);
    EXPECT_EQ(cluster.submit(0, "j-1")->status, 201);
    cluster.upgrade(0);
    cluster.run(6);
    cluster.upgrade(1);
    cluster.run(6);
    const auto rejected = cluster.submit(0, "j-2", depends_on_first);
    EXPECT_EQ(rejected->status, 503);
    EXPECT_GT(rejected->retry_after_s, 0);
    EXPECT_EQ(cluster.submit(1, "j-3")->status, 201);
    cluster.run(30);  // the controller of the earlier version still responds
    EXPECT_EQ(cluster.submit(0, "j-2", depends_on_first)->status, 503);
    cluster.upgrade(2);
    cluster.run(8);
    EXPECT_EQ(cluster.submit(2, "j-2", depends_on_first)->status, 201);
}

// A controller is down while the others are upgraded, and they have not heard from it since. They reject the
// first job with dependencies, but from then on wait only a few seconds for the missing controller.
TEST(Upgrade, UnreachableControllerDoesNotBlockUpgrade) {
    ClusterSimulator cluster("upgrade_away", 3, earlier_version());
    cluster.workers.cloud_capacity = 6;
    cluster.run(5);
    cluster.kill(2);
    cluster.note("end       of c-2");
    for (const int n : {0, 1}) cluster.upgrade(n);
    cluster.run(40);
    EXPECT_EQ(cluster.submit(0, "j-1")->status, 201);
    EXPECT_EQ(cluster.submit(0, "j-2", depends_on_first)->status, 503);
    cluster.run(3);
    EXPECT_EQ(cluster.submit(0, "j-2", depends_on_first)->status, 201);
    cluster.upgrade(2);
    cluster.run(6);
    EXPECT_EQ(cluster.poll(2, "j-2")->status, 200);
}

// Leaders of both versions alternate while a job of 120 tasks runs, and no task is interrupted. Duplicates of
// heartbeats arrive late, a leader crashes, and the store's limits are lowered during a failover while the
// store contains larger records.
TEST(Upgrade, TasksSurviveAlternatingLeaderVersions) {
    ClusterSimulator cluster("upgrade_alternating", 3, earlier_version());
    cluster.workers.cloud_capacity = 8;
    cluster.workers.duplicate_heartbeats_after_s = 15;
    cluster.run(5);
    constexpr std::size_t tasks = 120;
    const json::object wide_job{{"Pieces", tasks}, {"Vcpus", 0.5}, {"Accelerators", 0}, {"MemGb", 0.5}};
    EXPECT_EQ(cluster.submit(0, "j-1", wide_job)->status, 201);
    for (int i = 0; i < 60 && cluster.workers.executing_task_count() < tasks; ++i) cluster.run(1);
    EXPECT_EQ(cluster.workers.executing_task_count(), tasks);
    const auto replace_leader = [&](bool by_current_version) {
        const int leader_index = cluster.leader();
        cluster.note("end       of c-" + std::to_string(leader_index));
        if (by_current_version)
            cluster.upgrade(leader_index);
        else
            cluster.kill(leader_index);
        cluster.run(9);
        if (!by_current_version) cluster.restart(leader_index);  // with the version that it had
        cluster.run(3);
    };
    replace_leader(true);
    replace_leader(false);
    replace_leader(false);
    EXPECT_EQ(cluster.workers.executing_task_count(), tasks);
    for (int n = 0; n < 3; ++n) {
        cluster.upgrade(n);
        cluster.run(7);
    }
    const int leader_index = cluster.leader();
    cluster.note("limits    of the store are lowered");
    cluster.store.max_value_bytes = 2048, cluster.store.max_transaction_changes = 4;
    // Two tasks end, so that the next leader has records to write.
    cluster.workers.task_run_s["j-1/7"] = cluster.workers.task_run_s["j-1/70"] = 1;
    cluster.kill(leader_index);
    cluster.run(1);
    cluster.restart(leader_index);
    cluster.run(20);
    EXPECT_EQ(cluster.submit(1, "j-2", depends_on_first)->status, 201);
    cluster.run(20);
    EXPECT_EQ(cluster.workers.executing_task_count(), tasks - 2);
    EXPECT_EQ(cluster.workers.starts, static_cast<int>(tasks));
    EXPECT_EQ(cluster.workers.tasks_killed_by_lease_expiry, 0);
    EXPECT_EQ(cluster.store.oversized_commits, 0);
    cluster.cancel(0, "j-1");
    cluster.run(30);
    EXPECT_EQ(cluster.workers.executing_task_count(), 0U);
    const auto dependent_status = cluster.poll(2, "j-2");
    EXPECT_NE(dependent_status->body.find("withdrawn"), std::string::npos);
}

}  // namespace
}  // namespace pineroad::test
