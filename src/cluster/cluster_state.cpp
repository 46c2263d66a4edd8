#include "cluster/cluster_state.hpp"

#include "cluster/state_loader.hpp"

namespace pineroad::cluster {

ClusterState::ClusterState(const config::Settings& settings, const config::Tuning& tuning,
                           std::uint64_t fencing_token, std::uint64_t leader_revision, double now)
    : context_{settings, tuning, fencing_token, leader_revision, now, now},
      jobs_(context_, pending_changes_),
      machines_(context_),
      provisioning_requests_(fencing_token),
      task_lifecycle_(context_, jobs_, machines_, pending_changes_, stop_requests_, run_time_estimates_),
      failure_detector_(context_, machines_, task_lifecycle_),
      heartbeat_reconciler_(context_, jobs_, machines_, task_lifecycle_, stop_requests_, failure_detector_),
      command_delivery_(jobs_, machines_, stop_requests_),
      machine_lifecycle_(context_, machines_, task_lifecycle_),
      segment_store_(context_, jobs_),
      durable_writes_({context_, jobs_, machines_, pending_changes_, provisioning_requests_,
                       slowdown_averages_, segment_store_}),
      snapshot_builder_(context_, jobs_, machines_, provisioning_requests_, run_time_estimates_,
                        slowdown_averages_),
      planner_(context_,
               {jobs_, machines_, task_lifecycle_, stop_requests_, pending_changes_, provisioning_requests_,
                failure_detector_},
               snapshot_builder_) {}

void ClusterState::load(const store::WatchCache& watch_cache, double now, std::int64_t wall_ms) {
    context_.set_clocks(now, wall_ms);
    StateLoader loader(
        {jobs_, machines_, task_lifecycle_, segment_store_, provisioning_requests_, slowdown_averages_});
    loader.load(watch_cache, now);
}

// --- events of the store -----------------------------------------------------------------------------------

void ClusterState::job_added(const model::JobSpec& spec, std::uint64_t mod_revision, double now) {
    jobs_.add(spec, mod_revision, now);
}

void ClusterState::job_cancelled(const std::string& id, double) {
    task_lifecycle_.cancel_job(id);
}

void ClusterState::job_cancelled_by_dependency(const std::string& id, double now) {
    context_.now_s = now;
    task_lifecycle_.cancel_job_by_dependency(id);
}

void ClusterState::allow_sharding() {
    jobs_.allow_sharding();
}

// --- workers -----------------------------------------------------------------------------------------------

bool ClusterState::apply_heartbeat(const model::Heartbeat& heartbeat, double now) {
    context_.now_s = now;
    return heartbeat_reconciler_.apply(heartbeat);
}

bool ClusterState::placements_durable(const std::string& machine) const {
    return command_delivery_.placements_durable(machine);
}

bool ClusterState::has_free_capacity(const std::string& machine, double now) const {
    return planner_.has_free_capacity(machine, now);
}

bool ClusterState::has_pending_commands(const std::string& machine) const {
    return command_delivery_.has_pending_commands(machine);
}

std::vector<model::Command> ClusterState::commands_for(const std::string& machine, bool may_start_tasks,
                                                       double now) {
    return command_delivery_.commands_for(machine, may_start_tasks, now);
}

std::vector<DirectCommands> ClusterState::take_direct_commands() {
    return command_delivery_.take_direct_commands();
}

// --- planning ----------------------------------------------------------------------------------------------

void ClusterState::detect_failures(double now) {
    context_.now_s = now;
    failure_detector_.detect();
}

void ClusterState::restart_silence_timers(double now) {
    failure_detector_.restart_silence_timers(now);
}

void ClusterState::plan(double now, std::int64_t wall_ms, const DemandByClass& demand) {
    context_.set_clocks(now, wall_ms);
    planner_.plan(demand);
}

// --- durable writes ----------------------------------------------------------------------------------------

std::optional<WriteBatch> ClusterState::next_write_batch(std::size_t changes) {
    return durable_writes_.next_batch(changes);
}

void ClusterState::apply_commit(const WriteBatch& batch, std::uint64_t revision, double now,
                                std::int64_t wall_ms) {
    context_.now_s = now;
    durable_writes_.apply_commit(batch, revision, wall_ms);
}

bool ClusterState::write_due() const {
    return durable_writes_.is_due();
}

bool ClusterState::record_write_rejection() {
    return durable_writes_.record_rejection();
}

std::vector<std::string> ClusterState::take_machines_with_durable_placements() {
    return durable_writes_.take_machines_with_durable_placements();
}

// --- cloud -------------------------------------------------------------------------------------------------

bool ClusterState::set_machine_types(const std::vector<model::MachineType>& types) {
    return machines_.types().set(types);
}

void ClusterState::machines_provisioned(const std::string& name, const std::vector<std::string>& machines,
                                        double now) {
    context_.now_s = now;
    if (const auto request = provisioning_requests_.record_response(name, machines.size(), now))
        machine_lifecycle_.add_provisioned(*request, machines);
}

void ClusterState::provisioning_refused(const std::string& name, double now) {
    provisioning_requests_.record_refusal(name, now);
    planner_.autoscale_at_next_plan();  // other pools may have capacity
}

std::vector<std::string> ClusterState::machines_to_release(double) const {
    return machine_lifecycle_.machines_to_release();
}

void ClusterState::machines_released(const std::vector<std::string>& machines, double now) {
    context_.now_s = now;
    machine_lifecycle_.remove_released(machines);
}

void ClusterState::apply_machine_list(const std::vector<model::ListedMachine>& machines, double now) {
    context_.now_s = now;
    machine_lifecycle_.apply_list(machines);
}

}  // namespace pineroad::cluster
