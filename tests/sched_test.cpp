// The scheduling functions in isolation: job order, placement, preemption, reservations and autoscaling.
#include <gtest/gtest.h>

#include <limits>

#include "config/constants.hpp"
#include "leader_simulator.hpp"
#include "named_case.hpp"
#include "scheduling/autoscaling.hpp"
#include "scheduling/eligibility.hpp"
#include "scheduling/placement.hpp"
#include "scheduling/preemption.hpp"
#include "scheduling/reservation.hpp"
#include "scheduling/xfactor.hpp"

namespace pineroad::test {
namespace {

struct Scheduler : ::testing::Test {
    config::Settings config = settings();
    config::Tuning tuning;
    std::vector<model::MachineType> types = machine_types();
    std::vector<std::unique_ptr<model::JobSpec>> specs;
    scheduling::Snapshot snapshot;

    Scheduler() {
        snapshot.settings = &config;
        snapshot.tuning = &tuning;
        for (const auto& machine_type : types)
            for (const auto& z : machine_type.zones)
                for (const bool spot : {true, false})
                    snapshot.pools.push_back({&machine_type, z, spot, false});
    }
    scheduling::MachineSnapshot& add_machine(const std::string& id, const std::string& type = "g4",
                                             const std::string& zone = "a", bool spot = false) {
        scheduling::MachineSnapshot machine;
        machine.id = id, machine.type = type, machine.zone = zone, machine.spot = spot, machine.ready = true;
        for (const auto& machine_type : types)
            if (machine_type.name == type) machine.free = machine_type.capacity;
        snapshot.machines.push_back(machine);
        return snapshot.machines.back();
    }
    scheduling::PendingJob& add_job(model::JobSpec spec, double xfactor, double slack = 1000) {
        specs.push_back(std::make_unique<model::JobSpec>(std::move(spec)));
        scheduling::PendingJob pending;
        pending.spec = specs.back().get();
        pending.priority = pending.spec->priority;
        for (std::uint32_t i = 0; i < pending.spec->task_count; ++i) pending.pending_tasks.push_back(i);
        pending.xfactor = xfactor, pending.slack_s = slack, pending.expected_run_s = pending.spec->estimate_s;
        snapshot.jobs.push_back(pending);
        return snapshot.jobs.back();
    }
    void add_running_gang(model::JobSpec spec, const std::string& machine_id, double xfactor) {
        specs.push_back(std::make_unique<model::JobSpec>(std::move(spec)));
        snapshot.running_gangs.push_back(
            {specs.back().get(), specs.back()->priority, xfactor, {machine_id}, true});
        for (auto& machine : snapshot.machines)
            if (machine.id == machine_id) machine.free -= specs.back()->task_resources, machine.busy = true;
    }
};

TEST_F(Scheduler, HighestXfactorIsPlacedFirst) {
    add_machine("m-1");
    add_job(gang_job("j-1", 1), 1.5);
    add_job(gang_job("j-2", 1), 3.0);
    const auto starts = scheduling::place_tasks(snapshot);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].job, "j-2");
}

TEST_F(Scheduler, MachineInUseWithTheImageIsPreferred) {
    add_machine("m-1");
    add_machine("m-2").busy = true;
    add_machine("m-3");
    snapshot.machines[1].images = {"img-1"};
    snapshot.machines[1].free -= model::Resources{8, 1, 32};
    add_job(array_job("j-1", 1), 1);
    EXPECT_EQ(scheduling::place_tasks(snapshot).at(0).machine, "m-2");
}

TEST_F(Scheduler, SpotMachinesOnlyForJobsThatAllowThem) {
    add_machine("m-1", "g4", "a", true);
    add_job(array_job("j-1", 1), 1);
    EXPECT_TRUE(scheduling::place_tasks(snapshot).empty());
}

// Guards against late pipelines: when one or two of the hundreds of tasks of a stage were lost with spot
// machines, all later stages waited. Spot machines and empty machines are the last choice for jobs in a
// pipeline, but not for other jobs.
class SpotAndEmptyMachines : public Scheduler, public ::testing::WithParamInterface<NamedCase<bool>> {};

TEST_P(SpotAndEmptyMachines, AreTheLastChoiceForPipelinesOnly) {
    const bool in_pipeline = GetParam().value;
    add_machine("m-spot", "g4", "a", true).busy = true;
    add_machine("m-empty");
    auto& shared = add_machine("m-shared", "g4", "b");
    shared.busy = true;
    shared.free -= model::Resources{8, 1, 32};
    snapshot.machines[0].images = {"img-1"};
    auto spec = array_job("j-1", 1);
    spec.allows_spot = true;
    add_job(spec, 1).in_pipeline = in_pipeline;
    EXPECT_EQ(scheduling::place_tasks(snapshot).at(0).machine, in_pipeline ? "m-shared" : "m-spot");
    snapshot.machines.pop_back();
    auto next_spec = array_job("j-2", 1);
    next_spec.allows_spot = true;
    add_job(next_spec, 1).in_pipeline = in_pipeline;
    EXPECT_EQ(scheduling::place_tasks(snapshot).at(0).machine, "m-spot");
}

INSTANTIATE_TEST_SUITE_P(Job, SpotAndEmptyMachines,
                         ::testing::Values(NamedCase<bool>{"Alone", false},
                                           NamedCase<bool>{"InAPipeline", true}),
                         case_name<NamedCase<bool>>);

// Preemption compares inherited priorities, both of the preemptor and of the victim.
TEST_F(Scheduler, InheritedPriorityDecidesPreemption) {
    add_machine("m-1");
    add_running_gang(gang_job("j-1", 1), "m-1", 1.2);
    auto& preemptor = add_job(gang_job("j-2", 1), 10);
    EXPECT_FALSE(scheduling::select_preemption(snapshot));
    preemptor.priority = model::Priority::high;
    EXPECT_TRUE(scheduling::select_preemption(snapshot));
    snapshot.running_gangs[0].priority = model::Priority::high;
    EXPECT_FALSE(scheduling::select_preemption(snapshot));
}

// A job that can run in several pools does not take the last machine that a constrained job class can use.
TEST_F(Scheduler, FlexibleJobLeavesHeadroomOfAConstrainedClass) {
    tuning.headroom_factor = 1;
    add_machine("m-1");
    auto flexible = array_job("j-1", 1);
    flexible.allows_spot = true;
    add_job(flexible, 5);
    scheduling::ClassDemand demand;
    demand.sample_job = gang_job("j-0", 1);
    demand.arrivals_per_s = 0.03;
    demand.start_within_s = 20;
    snapshot.demand["wide"] = demand;
    EXPECT_TRUE(scheduling::place_tasks(snapshot).empty());
    snapshot.demand.clear();
    EXPECT_EQ(scheduling::place_tasks(snapshot).size(), 1U);
}

TEST_F(Scheduler, PreemptionChecksXfactorWidthAndCategory) {
    add_machine("m-1");
    auto victim = gang_job("j-1", 1);
    add_running_gang(victim, "m-1", 1.2);
    auto preemptor_spec = gang_job("j-2", 1);
    preemptor_spec.priority = model::Priority::high;
    auto& preemptor = add_job(preemptor_spec, 2.3);
    EXPECT_FALSE(scheduling::select_preemption(snapshot)) << "2.3 is below 2 x 1.2";
    preemptor.xfactor = 2.4;
    ASSERT_TRUE(scheduling::select_preemption(snapshot));
    EXPECT_EQ(scheduling::select_preemption(snapshot)->victims, std::vector<std::string>{"j-1"});
    specs[1]->task_resources.cpus = 13;
    EXPECT_FALSE(scheduling::select_preemption(snapshot)) << "28 CPUs are more than twice 13";
    specs[1]->task_resources.cpus = 28;
    snapshot.running_gangs[0].xfactor = 1.6;
    preemptor.xfactor = 10;
    EXPECT_FALSE(scheduling::select_preemption(snapshot)) << "1.6 is above 1.5 x a mean of 1";
    snapshot.category_averages[scheduling::category(victim, tuning)] = {2.0, 4};
    EXPECT_TRUE(scheduling::select_preemption(snapshot));
}

// The protocol's section "Preemption" adds this rule to the xfactor rule: a job preempts one of equal
// priority only if its own team stays within its guarantee and the victim's team exceeds its own.
TEST_F(Scheduler, EqualPriorityIsPreemptedOnlyForATeamGuarantee) {
    add_machine("m-1");
    add_running_gang(gang_job("j-1", 1), "m-1", 1);
    auto& preemptor = add_job(gang_job("j-2", 1), 50);
    EXPECT_FALSE(scheduling::select_preemption(snapshot));
    specs[1]->team = "owed";  // has a guarantee, unlike the victim's team
    snapshot.usage["team"] = {28, 4};
    EXPECT_TRUE(scheduling::select_preemption(snapshot));
    snapshot.usage["owed"] = {64, 8};  // its guarantee is used up
    EXPECT_FALSE(scheduling::select_preemption(snapshot));
    (void)preemptor;
}

TEST_F(Scheduler, PreemptionMustMakeRoomForTheWholeGang) {
    add_machine("m-1");
    add_running_gang(gang_job("j-1", 1), "m-1", 1);
    auto preemptor_spec = gang_job("j-2", 2);
    preemptor_spec.priority = model::Priority::high;
    add_job(preemptor_spec, 50);
    EXPECT_FALSE(scheduling::select_preemption(snapshot)) << "one machine has no room for two tasks";
    add_machine("m-2");
    EXPECT_TRUE(scheduling::select_preemption(snapshot));
}

TEST_F(Scheduler, LargestVictimIsPreemptedFirst) {
    add_machine("m-1");
    add_machine("m-2", "g2");
    auto small = gang_job("j-1", 1);
    small.task_resources = {14, 2, 100};
    add_running_gang(small, "m-2", 1);
    add_running_gang(gang_job("j-2", 1), "m-1", 1);
    auto preemptor_spec = gang_job("j-3", 1);
    preemptor_spec.priority = model::Priority::high;
    preemptor_spec.task_resources = {14, 2, 100};
    add_job(preemptor_spec, 50);
    ASSERT_TRUE(scheduling::select_preemption(snapshot));
    EXPECT_EQ(scheduling::select_preemption(snapshot)->victims, std::vector<std::string>{"j-2"});
}

TEST_F(Scheduler, ReservationKeepsMachinesForAGangThatWaitedLong) {
    add_machine("m-1");
    auto& waiting_gang = add_job(gang_job("j-1", 2), 1);
    waiting_gang.waited_s = tuning.reservation_wait_s + 1;
    add_job(array_job("j-2", 1), 9);
    EXPECT_TRUE(scheduling::place_tasks(snapshot).empty());
    snapshot.jobs[0].waited_s = 10;
    EXPECT_EQ(scheduling::place_tasks(snapshot).size(), 1U);
}

// Guards against the starvation of wide gangs. Under bursts of jobs, half of the widest gangs waited over
// four minutes: machines of two zones were reserved for a gang that must stay in one, and the machines that
// the reservation released at last went to jobs with a higher xfactor.
TEST_F(Scheduler, ReservationKeepsOneZoneAndItsGangIsPlacedFirst) {
    add_machine("m-1", "g4", "a");
    add_machine("m-2", "g4", "b");
    add_machine("m-3", "g4", "b");
    auto spec = gang_job("j-1", 3);
    spec.same_zone = true;
    add_job(spec, 1).waited_s = tuning.reservation_wait_s + 1;
    add_job(gang_job("j-2", 1), 9);
    const auto reservation = scheduling::reserve_machines(snapshot);
    EXPECT_EQ(reservation.job, "j-1");
    EXPECT_EQ(reservation.machines, (std::set<std::string>{"m-2", "m-3"}));
    EXPECT_TRUE(scheduling::plan_autoscaling(snapshot).scale_in.empty());
    auto trial_snapshot = snapshot;
    const auto others = scheduling::place_tasks(trial_snapshot);
    ASSERT_EQ(others.size(), 1U);  // a machine that the waiting gang cannot use is not reserved
    EXPECT_EQ(others[0].machine, "m-1");
    add_machine("m-4", "g4", "b");
    const auto starts = scheduling::place_tasks(snapshot);
    ASSERT_EQ(starts.size(), 4U);
    for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(starts[i].job, "j-1");
}

// A gang beyond its team's limit gets no reservation, because the reserved machines would stay idle.
TEST_F(Scheduler, NoReservationBeyondTheTeamLimit) {
    add_machine("m-1");
    auto spec = gang_job("j-1", 2);
    spec.team = "capped";
    add_job(spec, 1).waited_s = tuning.reservation_wait_s + 1;
    EXPECT_TRUE(scheduling::reserve_machines(snapshot).machines.empty());
}

TEST_F(Scheduler, CheapestPoolWithCapacityIsRequested) {
    auto flexible = array_job("j-1", 4);
    flexible.allows_spot = true;
    add_job(flexible, 1, 0);
    const auto plan = scheduling::plan_autoscaling(snapshot);
    ASSERT_EQ(plan.scale_out.size(), 1U);
    EXPECT_TRUE(plan.scale_out[0].spot);
    for (auto& pool : snapshot.pools) pool.lacks_capacity = pool.spot;
    ASSERT_EQ(scheduling::plan_autoscaling(snapshot).scale_out.size(), 1U);
    EXPECT_FALSE(scheduling::plan_autoscaling(snapshot).scale_out[0].spot);
}

TEST_F(Scheduler, BootingMachinesCountAsCapacity) {
    add_job(gang_job("j-1", 1), 1, 0);
    auto& machine = add_machine("m-1");
    machine.ready = false;
    machine.booting = true;
    EXPECT_TRUE(scheduling::plan_autoscaling(snapshot).scale_out.empty());
}

TEST_F(Scheduler, IdleMachinesBeyondTheHeadroomAreReleased) {
    tuning.headroom_factor = 1;
    add_machine("m-1").idle_s = 500;
    add_machine("m-2").idle_s = 500;
    EXPECT_EQ(scheduling::plan_autoscaling(snapshot).scale_in.size(), 2U);
    scheduling::ClassDemand demand;
    demand.sample_job = gang_job("j-0", 1);
    demand.arrivals_per_s = 0.03;
    demand.start_within_s = 20;
    snapshot.demand["wide"] = demand;
    EXPECT_EQ(scheduling::plan_autoscaling(snapshot).scale_in.size(), 1U);
}

// Guards against an autoscaling round that throws: with no running task and an infinite horizon, the number
// of tasks that need a machine was not a number. All tasks then need one.
TEST_F(Scheduler, LargestBootTimeKeepsNoRoundFromRequestingMachines) {
    for (auto& type : types) type.boot_s = std::numeric_limits<double>::max();
    add_job(array_job("j-1", 3), 1);
    EXPECT_FALSE(scheduling::plan_autoscaling(snapshot).scale_out.empty());
}

// Guards against requests for a billion spare machines: the headroom grows with the boot time that the cloud
// states.
TEST_F(Scheduler, HeadroomIsBoundedForTheLargestBootTime) {
    for (auto& type : types) type.boot_s = constants::max_amount;
    scheduling::ClassDemand demand;
    demand.sample_job = gang_job("j-0", 1);
    demand.arrivals_per_s = 1;
    demand.start_within_s = 20;
    EXPECT_LE(scheduling::headroom_task_count(snapshot, demand), constants::max_headroom_tasks);
}

// Guards against an overflow that picks the zone with the least room for a gang: tasks that need next to
// nothing fit a million times on each machine.
TEST_F(Scheduler, ReservationCountsTheRoomForTinyTasksOnManyMachines) {
    add_machine("m-last", "g4", "a").free = {0, 0, 0};
    for (int i = 0; i < 3000; ++i) add_machine("m-" + std::to_string(i), "g4", "b");
    auto gang = gang_job("j-1", 2);
    gang.same_zone = true;
    gang.task_resources = {5e-324, 0, 0};
    add_job(gang, 1).waited_s = 1000;
    const auto reservation = scheduling::reserve_machines(snapshot);
    EXPECT_EQ(reservation.job, "j-1");
    EXPECT_EQ(reservation.machines, std::set<std::string>{"m-0"});
}

// Guards against an undefined conversion where a machine has less than nothing free, as after the cloud has
// lowered the capacity of its type.
TEST(Eligibility, NoTaskFitsIntoNegativeCapacity) {
    auto spec = array_job("j-1", 1);
    spec.task_resources = {5e-324, 0, 0};
    EXPECT_EQ(scheduling::task_capacity(spec, {-1, 0, 0}), 0);
}

TEST(Xfactor, IsOnePlusWaitOverEstimate) {
    EXPECT_DOUBLE_EQ(scheduling::xfactor(60, 60), 2.0);
    EXPECT_DOUBLE_EQ(scheduling::xfactor(-5, 60), 1.0);
    EXPECT_DOUBLE_EQ(scheduling::xfactor(9, 0), 10.0);
}

}  // namespace
}  // namespace pineroad::test
