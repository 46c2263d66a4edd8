// Jobs that can never run: which they are, how admission answers, and that one that was accepted earlier
// harms no other job.
#include "scheduling/feasibility.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <sstream>

#include "cluster/snapshot_builder.hpp"
#include "cluster_simulator.hpp"

namespace pineroad::test {
namespace {

namespace json = boost::json;

// --- which jobs can run ------------------------------------------------------------------------------------

// Finds out by search whether a job can run: tries every way to put the tasks that must run at the same time
// onto any number of machines, one task after the other, and checks the protocol's conditions on each state.
class PlacementSearch {
   public:
    PlacementSearch(const model::JobSpec& spec, const config::Settings& settings,
                    const std::vector<model::MachineType>& types)
        : spec_(spec), settings_(settings), types_(types) {}

    bool finds_placement() { return place(spec_.shape == model::Shape::gang ? spec_.task_count : 1); }

   private:
    bool place(std::uint32_t tasks_left) {
        if (!state_is_allowed()) return false;
        if (tasks_left == 0) return true;
        for (const auto& type : types_)
            for (const auto& zone : type.zones) {
                if (!task_is_allowed(type, zone)) continue;
                ++tasks_by_zone_[zone];
                const bool found = place(tasks_left - 1);
                --tasks_by_zone_[zone];
                if (found) return true;
            }
        return false;
    }
    [[nodiscard]] bool task_is_allowed(const model::MachineType& type, const std::string& zone) const {
        const auto& allowed = spec_.allowed_machine_types;
        const bool type_allowed =
            !allowed || std::find(allowed->begin(), allowed->end(), type.name) != allowed->end();
        const auto& task = spec_.task_resources;
        const auto& machine = type.capacity;
        return type_allowed && (!spec_.zone || *spec_.zone == zone) && task.cpus <= machine.cpus &&
               task.gpus <= machine.gpus && task.memory_gb <= machine.memory_gb;
    }
    [[nodiscard]] bool state_is_allowed() const {
        std::uint32_t tasks = 0, zones_used = 0;
        for (const auto& [zone, in_zone] : tasks_by_zone_) {
            if (spec_.spread && in_zone > spec_.task_count - spec_.task_count / 2) return false;
            zones_used += in_zone > 0;
            tasks += in_zone;
        }
        if (spec_.same_zone && zones_used > 1) return false;
        for (const auto& team : settings_.teams) {
            if (team.name != spec_.team) continue;
            return (team.cpus_max == 0 || tasks * spec_.task_resources.cpus <= team.cpus_max) &&
                   (team.gpus_max == 0 || tasks * spec_.task_resources.gpus <= team.gpus_max);
        }
        return false;
    }

    const model::JobSpec& spec_;
    const config::Settings& settings_;
    const std::vector<model::MachineType>& types_;
    std::map<std::string, std::uint32_t> tasks_by_zone_;
};

// Machine types and their zones: only the large type is offered, a zone is named twice, each type has a zone
// of its own, both share one zone, the large type has three zones, no zone offers any type, and no types
// exist.
std::vector<std::vector<model::MachineType>> deployments() {
    const auto both = machine_types();
    const auto offered = [&both](const std::vector<std::string>& large,
                                 const std::vector<std::string>& small) {
        auto types = both;
        types[0].zones = large;
        types[1].zones = small;
        return types;
    };
    return {offered({"a"}, {}),
            offered({"a", "a"}, {"a"}),
            offered({"a"}, {"b"}),
            offered({"a"}, {"a"}),
            offered({"a", "b", "c"}, {"b"}),
            offered({}, {}),
            {}};
}

std::string describe(const model::JobSpec& spec, std::size_t deployment) {
    std::ostringstream out;
    out << "deployment " << deployment << " shape " << static_cast<int>(spec.shape) << " team " << spec.team
        << " tasks " << spec.task_count << " of " << spec.task_resources.cpus << " CPUs, zone "
        << spec.zone.value_or("any") << (spec.same_zone ? ", same zone" : "")
        << (spec.spread ? ", spread" : "");
    if (!spec.allowed_machine_types) return out.str();
    out << ", types";
    for (const auto& type : *spec.allowed_machine_types) out << " " << type;
    return out.str();
}

using TypeList = std::optional<std::vector<std::string>>;

// Calls `check` with every combination of a job's conditions.
void for_each_job(const std::function<void(const model::JobSpec&)>& check) {
    const std::vector<model::Resources> sizes{{8, 1, 32}, {28, 4, 200}, {64, 1, 32}};
    const std::vector<TypeList> type_lists{std::nullopt, TypeList({"g4"}), TypeList({"g2", "none"}),
                                           TypeList(std::vector<std::string>{})};
    auto spec = array_job("j-1", 1);
    for (const auto shape : {model::Shape::array, model::Shape::gang, model::Shape::service})
        for (const std::uint32_t tasks : {1, 2, 3, 4, 5})
            for (const auto& size : sizes)
                for (const auto& types : type_lists)
                    for (const auto* zone : {"", "a", "b", "z"})
                        for (const auto* team : {"team", "capped", "no such team"})
                            for (const bool same_zone : {false, true})
                                for (const bool spread : {false, true}) {
                                    spec.shape = shape, spec.task_count = tasks, spec.task_resources = size;
                                    spec.allowed_machine_types = types, spec.team = team;
                                    spec.same_zone = same_zone, spec.spread = spread;
                                    spec.zone = *zone ? std::optional<std::string>(zone) : std::nullopt;
                                    check(spec);
                                }
}

// Guards against jobs that are accepted though they can't run, and against the rejection of one that can: a
// condition was checked alone, not together with the others.
TEST(Feasibility, AgreesWithASearchOfAllPlacements) {
    const auto config = settings();
    int feasible = 0, infeasible = 0;
    for (std::size_t i = 0; i < deployments().size(); ++i) {
        const auto types = deployments()[i];
        for_each_job([&](const model::JobSpec& spec) {
            const bool can_run = PlacementSearch(spec, config, types).finds_placement();
            const auto reason = scheduling::find_infeasibility(spec, config, types);
            EXPECT_EQ(can_run, !reason) << describe(spec, i);
            ++(can_run ? feasible : infeasible);
        });
    }
    EXPECT_GT(feasible, 1000);
    EXPECT_GT(infeasible, 1000);
}

TEST(Feasibility, NothingIsKnownWithoutATypeInAZone) {
    const auto all = deployments();
    EXPECT_TRUE(scheduling::offers_machines(all.front()));
    EXPECT_FALSE(scheduling::offers_machines(all[5])) << "no zone offers a type";
    EXPECT_FALSE(scheduling::offers_machines(all[6])) << "there are no types";
}

// --- admission ---------------------------------------------------------------------------------------------

std::vector<model::MachineType> types_in_zones(const std::vector<std::string>& zones) {
    auto types = machine_types();
    for (auto& type : types) type.zones = zones;
    return types;
}

const json::object gang_of_two{{"Shape", "group"}, {"Pieces", 2}};
const json::object spread_gang{{"Shape", "group"}, {"Pieces", 2}, {"Spread", true}};

// Three controllers, and a cloud that offers its machine types in these zones only.
class ZonedCluster : public ClusterSimulator {
   public:
    ZonedCluster(const std::string& trace, const std::vector<std::string>& zones)
        : ClusterSimulator(trace, 3) {
        workers.cloud_capacity = 6;
        workers.default_task_run_s = 10;
        offer(zones);
        run(5);
    }
    void offer(const std::vector<std::string>& zones) { workers.offered_types = types_in_zones(zones); }
    // Submits the job and returns the status of the response; 0: no response.
    int submitted(int controller, const std::string& id, const json::object& overrides) {
        const auto response = submit(controller, id, overrides);
        return response ? response->status : 0;
    }
    std::string status_of(int controller, const std::string& id) {
        const auto response = poll(controller, id);
        if (!response || response->status != 200) return "";
        return std::string(json::parse(response->body).at("Status").as_string());
    }
};

// Guards against a gang that gets 201 and waits forever: its tasks must be spread over two zones, and there
// is one. The same gang without that condition, and the same tasks as an array, can run and are accepted.
TEST(InfeasibleJob, SpreadGangIsRejectedWhereThereIsOneZone) {
    ZonedCluster cluster("infeasible_spread", {"a"});
    EXPECT_EQ(cluster.submitted(0, "j-1", spread_gang), 422);
    EXPECT_EQ(cluster.poll(1, "j-1")->status, 404);
    EXPECT_EQ(cluster.submitted(0, "j-2", gang_of_two), 201);
    EXPECT_EQ(cluster.submitted(1, "j-3", {{"Pieces", 2}, {"Spread", true}}), 201);
    EXPECT_EQ(cluster.submitted(2, "j-4", {{"Shape", "group"}, {"Spread", true}}), 201);
    cluster.run(60);
    for (const auto* id : {"j-2", "j-3", "j-4"}) EXPECT_EQ(cluster.status_of(0, id), "done") << id;
}

// Guards against the same gang where there are two zones, but another condition leaves it one of them.
TEST(InfeasibleJob, SpreadGangIsRejectedIfOtherConditionsLeaveOneZone) {
    ZonedCluster cluster("infeasible_combined", {"a", "b"});
    auto bound_to_a_zone = spread_gang, together = spread_gang;
    bound_to_a_zone["Yard"] = "a";
    together["Together"] = true;
    EXPECT_EQ(cluster.submitted(0, "j-1", bound_to_a_zone), 422);
    EXPECT_EQ(cluster.submitted(1, "j-2", together), 422);
    EXPECT_EQ(cluster.submitted(2, "j-3", spread_gang), 201);
    cluster.run(60);
    EXPECT_EQ(cluster.status_of(0, "j-3"), "done");
}

// Guards against a final 422 while the controllers don't know yet what the deployment offers: the cloud does
// not name its machine types, or names them without a zone.
TEST(InfeasibleJob, IsNotRejectedBeforeMachineTypesAreKnown) {
    ClusterSimulator cluster("infeasible_not_known", 3);
    cluster.workers.cloud_capacity = 6;
    cluster.workers.offered_types.reset();
    cluster.run(5);
    EXPECT_EQ(cluster.submit(0, "j-1", spread_gang)->status, 503);
    cluster.note("cloud     names its machine types, in no zone");
    cluster.workers.offered_types = types_in_zones({});
    cluster.run(5);
    const auto response = cluster.submit(1, "j-1", spread_gang);
    EXPECT_EQ(response->status, 503);
    EXPECT_GT(response->retry_after_s, 0);
    cluster.note("cloud     names two zones");
    cluster.workers.offered_types = types_in_zones({"a", "b"});
    cluster.run(35);
    EXPECT_EQ(cluster.submit(1, "j-1", spread_gang)->status, 201);
}

// Guards against a final 422 that follows from machine types that are no longer current: the controller was
// cut off from the store while the cloud began to offer them in a second zone.
TEST(InfeasibleJob, IsNotRejectedByOutdatedMachineTypes) {
    ZonedCluster cluster("infeasible_outdated", {"a"});
    const int follower = (cluster.leader() + 1) % 3;
    cluster.note("partition of c-" + std::to_string(follower) + " from the store");
    cluster.partitioned_from_store = {follower};
    cluster.run(0.5);
    cluster.note("cloud     offers machines in a second zone");
    cluster.offer({"a", "b"});
    cluster.run(35);
    cluster.note("partition ends");
    cluster.partitioned_from_store.clear();
    EXPECT_EQ(cluster.submitted(follower, "j-1", spread_gang), 503);
    cluster.run(2);
    EXPECT_EQ(cluster.submitted(follower, "j-1", spread_gang), 201);
}

// --- jobs that were accepted earlier -----------------------------------------------------------------------

// Returns a gang that needs two whole g4 machines in two zones.
model::JobSpec wide_spread_gang(const std::string& id) {
    auto spec = gang_job(id, 2);
    spec.spread = true;
    return spec;
}

// Guards against machines that are rented and then reserved for a gang that an earlier version accepted
// though it can't run: nobody else got them. Its user still gets the answers of an accepted job, under later
// leaders too, and it runs once a second zone offers machines.
TEST(InfeasibleJob, AcceptedEarlierKeepsItsAnswersAndHarmsNoOther) {
    ZonedCluster cluster("infeasible_accepted_earlier", {"a"});
    cluster.workers.cloud_capacity = 2;
    const json::object whole_machines{{"Shape", "group"},  {"Pieces", 2},  {"Vcpus", 28},
                                      {"Accelerators", 4}, {"MemGb", 200}, {"Loaners", false}};
    auto spread_whole_machines = whole_machines;
    spread_whole_machines["Spread"] = true;
    cluster.workers.invariants.record_submission(
        {{"NameId", "j-1"}, {"Crew", "team"}, {"Pieces", 2}, {"Accelerators", 4}});
    cluster.store.put_job(wide_spread_gang("j-1"), cluster.now());
    cluster.run(config::Tuning().reservation_wait_s + 10);
    EXPECT_TRUE(cluster.workers.machines.empty()) << "machines were provisioned for it";
    EXPECT_EQ(cluster.submitted(0, "j-2", whole_machines), 201);
    cluster.run(70);
    EXPECT_EQ(cluster.status_of(1, "j-2"), "done");
    EXPECT_EQ(cluster.submitted(1, "j-1", spread_whole_machines), 200);
    cluster.note("end       of the leader");
    cluster.restart(cluster.leader());
    cluster.run(15);
    EXPECT_EQ(cluster.submitted(2, "j-3", whole_machines), 201);
    cluster.run(config::Tuning().reservation_wait_s + 10);
    EXPECT_EQ(cluster.status_of(2, "j-3"), "done");
    EXPECT_EQ(cluster.status_of(2, "j-1"), "queued");
    cluster.note("cloud     offers machines in a second zone");
    cluster.offer({"a", "b"});
    cluster.run(100);
    EXPECT_EQ(cluster.status_of(0, "j-1"), "done");
}

// A cluster state with the given machine types, from which the planner's snapshot is built.
class SnapshotOfJobs : public ::testing::Test {
   protected:
    void add_job(const model::JobSpec& spec) { jobs_.add(spec, ++revision_, now_s); }
    [[nodiscard]] scheduling::Snapshot snapshot_with_sample(const model::JobSpec& sample) {
        cluster::DemandByClass demand;
        demand[sample.job_class].sample_job = sample;
        return builder_.build(demand);
    }

    cluster::MachineTable& machines() { return machines_; }

   private:
    static constexpr double now_s = 1000;
    config::Settings settings_ = settings();
    config::Tuning tuning_;
    cluster::TermContext context_{settings_, tuning_, 1, 1, now_s, now_s};
    cluster::PendingChanges pending_changes_;
    cluster::JobTable jobs_{context_, pending_changes_};
    cluster::MachineTable machines_{context_};
    cluster::ProvisioningRequests provisioning_{1};
    cluster::RunTimeEstimates estimates_;
    cluster::SlowdownAverages averages_;
    cluster::SnapshotBuilder builder_{context_, jobs_, machines_, provisioning_, estimates_, averages_};
    std::uint64_t revision_ = 0;
};

// Guards against machines kept for a class because of a job of it that can't run, and against a class that
// loses them because its latest job is such a one.
TEST_F(SnapshotOfJobs, LeavesInfeasibleJobsOutOfQueueAndDemand) {
    machines().types().set(types_in_zones({"a"}));
    add_job(wide_spread_gang("j-1"));
    const auto alone = snapshot_with_sample(wide_spread_gang("j-1"));
    EXPECT_TRUE(alone.jobs.empty());
    EXPECT_TRUE(alone.demand.empty());
    ASSERT_EQ(alone.infeasible_jobs.size(), 1U);
    EXPECT_EQ(alone.infeasible_jobs[0].id, "j-1");
    EXPECT_EQ(alone.infeasible_jobs[0].reason, scheduling::Infeasibility::too_few_zones);
    add_job(gang_job("j-2", 2));
    const auto both = snapshot_with_sample(wide_spread_gang("j-1"));
    ASSERT_EQ(both.jobs.size(), 1U);
    EXPECT_EQ(both.jobs[0].spec->id, "j-2");
    ASSERT_EQ(both.demand.size(), 1U);
    EXPECT_EQ(both.demand.begin()->second.sample_job.id, "j-2");
}

// A job is left out only if it is known that it can't run: not before the machine types are known, and not
// while there are machines in a zone that no longer offers their type.
TEST_F(SnapshotOfJobs, KeepsJobsThatMayRun) {
    add_job(wide_spread_gang("j-1"));
    EXPECT_EQ(snapshot_with_sample(wide_spread_gang("j-1")).jobs.size(), 1U);
    machines().types().set(types_in_zones({"a"}));
    EXPECT_TRUE(snapshot_with_sample(wide_spread_gang("j-1")).jobs.empty());
    auto& machine = machines().find_or_add("m-1");
    machine.type = "g4", machine.zone = "b";
    EXPECT_EQ(snapshot_with_sample(wide_spread_gang("j-1")).jobs.size(), 1U);
    machine.releasing = true;
    EXPECT_TRUE(snapshot_with_sample(wide_spread_gang("j-1")).jobs.empty());
}

}  // namespace
}  // namespace pineroad::test
