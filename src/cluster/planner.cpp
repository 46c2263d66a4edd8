#include "cluster/planner.hpp"

#include <spdlog/spdlog.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "config/constants.hpp"
#include "scheduling/autoscaling.hpp"
#include "scheduling/preemption.hpp"

namespace pineroad::cluster {

namespace c = constants;

void Planner::plan(const DemandByClass& demand) {
    auto snapshot = snapshot_builder_.build(demand);
    report_infeasible_jobs(snapshot);
    update_smallest_request(snapshot.demand);
    place_tasks(snapshot);
    preempt(snapshot);
    if (context_.now_s - last_autoscaling_s_ < c::autoscaling_period_s) return;
    last_autoscaling_s_ = context_.now_s;
    autoscale(std::move(snapshot));
}

void Planner::report_infeasible_jobs(const scheduling::Snapshot& snapshot) {
    std::set<std::string> infeasible;
    for (const auto& job : snapshot.infeasible_jobs) {
        infeasible.insert(job.id);
        if (!infeasible_jobs_.contains(job.id))
            spdlog::warn("job {} was accepted but can't run: {} (term {})", job.id,
                         scheduling::to_string(job.reason), context_.fencing_token);
    }
    infeasible_jobs_ = std::move(infeasible);
}

void Planner::update_smallest_request(const DemandByClass& demand) {
    smallest_recent_request_.reset();
    for (const auto& [job_class, recent] : demand) {
        const auto& request = recent.sample_job.task_resources;
        if (!smallest_recent_request_ || request.cpus < smallest_recent_request_->cpus)
            smallest_recent_request_ = request;
    }
}

bool Planner::has_free_capacity(const std::string& id, double now) const {
    const Machine* machine = std::as_const(dependencies_.machines).find(id);
    if (!machine || !dependencies_.machines.is_schedulable(*machine, now)) return false;
    if (machine->tasks.empty()) return true;
    const auto* type = dependencies_.machines.types().find(machine->type);
    if (!type || !smallest_recent_request_) return false;
    auto free = type->capacity;
    for (const auto& [job, task] : machine->tasks) free -= job->progress.task_resources;
    return smallest_recent_request_->fits_in(free);
}

void Planner::place_tasks(scheduling::Snapshot& snapshot) {
    std::map<std::string, double> xfactors;
    for (const auto& pending : snapshot.jobs) xfactors[pending.spec->id] = pending.xfactor;
    for (const auto& decision : scheduling::place_tasks(snapshot))
        place_task(decision, xfactors[decision.job]);
}

void Planner::place_task(const scheduling::PlacementDecision& decision, double xfactor) {
    Job& job = dependencies_.jobs.at(decision.job);
    const bool is_first = job.placements.empty();
    if (!job.is_gang())
        job.latest_attempt = job.progress.next_attempt++;
    else if (is_first)
        job.begin_gang_attempt();
    if (is_first) job.xfactor_at_start = xfactor;
    dependencies_.jobs.mark_changed(job, decision.index);
    TaskPlacement placement;
    placement.index = decision.index;
    placement.attempt = job.latest_attempt;
    placement.machine = decision.machine;
    placement.version = job.version;
    spdlog::debug("task {}/{} attempt {} placed on {} (term {})", job.id, placement.index, placement.attempt,
                  placement.machine, context_.fencing_token);
    dependencies_.task_lifecycle.place(job, std::move(placement));
    Machine& machine = dependencies_.machines.find_or_add(decision.machine);
    machine.idle_since_s = context_.now_s;
    dependencies_.machines.record_cached_image(machine, *job.spec);
    dependencies_.pending_changes.request_commit();
}

// After a failover, preemption waits until the machines have reported: an incomplete snapshot would cause a
// burst of unnecessary stops.
void Planner::preempt(const scheduling::Snapshot& snapshot) {
    const double now = context_.now_s;
    const double period_s = context_.tuning.preemption_period_s;
    const bool machines_have_reported = now - context_.started_at_s > 2 * period_s;
    if (!machines_have_reported || now - last_preemption_s_ < period_s) return;
    last_preemption_s_ = now;
    const auto preemption = scheduling::select_preemption(snapshot);
    if (!preemption) return;
    for (const auto& victim : preemption->victims) {
        Job& job = dependencies_.jobs.at(victim);
        spdlog::info("job {} preempted for {} (term {})", victim, preemption->preemptor,
                     context_.fencing_token);
        dependencies_.stop_requests.request_all(job, job.spec->checkpoint_save_s + 1);
    }
}

void Planner::autoscale(scheduling::Snapshot snapshot) {
    add_requested_machines(snapshot);
    const auto autoscaling = scheduling::plan_autoscaling(std::move(snapshot));
    for (const auto& decision : autoscaling.scale_out) dependencies_.provisioning.scale_out(decision);
    if (!autoscaling.scale_out.empty()) dependencies_.pending_changes.request_commit();
    for (const auto& machine : autoscaling.scale_in) scale_in(machine);
}

// Open provisioning requests count as capacity that will soon be available, so they are not requested again.
void Planner::add_requested_machines(scheduling::Snapshot& snapshot) const {
    for (const auto& request : dependencies_.provisioning.open_requests()) {
        const auto* type = dependencies_.machines.types().find(request.type);
        for (std::uint32_t number = 0; type && number < request.count; ++number) {
            scheduling::MachineSnapshot machine;
            machine.id = request.name + "#" + std::to_string(number);
            machine.type = request.type;
            machine.zone = request.zone;
            machine.spot = request.spot;
            machine.booting = true;
            machine.free = type->capacity;
            snapshot.machines.push_back(std::move(machine));
        }
    }
}

// An idle machine is kept for the minimum charge period, since releasing it earlier saves nothing.
void Planner::scale_in(const std::string& id) {
    Machine& machine = dependencies_.machines.all().at(id);
    const double age_s = context_.now_s - machine.provisioned_at_s;
    if (age_s > 0 && age_s < c::minimum_charge_s) return;
    dependencies_.failure_detector.release(machine, ReleaseReason::idle);
}

}  // namespace pineroad::cluster
