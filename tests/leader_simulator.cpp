#include "leader_simulator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <sstream>
#include <utility>

#include "scheduling/eligibility.hpp"

namespace pineroad::test {

namespace records = wire::records;
using model::Command;
using model::ExitCause;
using model::TaskState;

namespace {

std::string describe(const Command& command) {
    const std::string task =
        command.task.job + "/" + std::to_string(command.task.index) + "#" + std::to_string(command.attempt);
    if (command.kind == Command::Kind::start) return "start " + task;
    if (command.kind == Command::Kind::forget) return "reap " + task;
    std::ostringstream out;
    out << "stop " << task << " grace " << command.grace_s;
    return out.str();
}

std::string describe(const model::ReportedTask& task) {
    static const char* const states[] = {"fetching", "waiting", "running", "saving", "ended"};
    return task.task.job + "/" + std::to_string(task.task.index) + "#" + std::to_string(task.attempt) + ":" +
           states[static_cast<int>(task.state)];
}

}  // namespace

// --- the store ---------------------------------------------------------------------------------------------

std::optional<std::uint64_t> InMemoryStore::commit(const wire::Transaction& transaction) {
    for (const auto& condition : transaction.conditions) {
        const auto row = rows.find(condition.key);
        if ((row == rows.end() ? 0 : row->second.mod_revision) != condition.mod_revision) return std::nullopt;
    }
    ++revision;
    for (const auto& change : transaction.changes) {
        if (change.value)
            rows[change.key] = {*change.value, revision};
        else
            rows.erase(change.key);
    }
    return revision;
}

void InMemoryStore::put(const std::string& key, wire::Json value) {
    rows[key] = {std::move(value), ++revision};
}

// --- users -------------------------------------------------------------------------------------------------

LeaderSimulator::LeaderSimulator(const std::string& trace) : trace_(trace) {
    spdlog::set_level(spdlog::level::off);
}

void LeaderSimulator::submit(model::JobSpec spec) {
    spec.accepted_ms = wall_ms();
    wire::Transaction transaction;
    transaction.conditions = {{records::job_key(spec.id), 0}, {records::outcome_key(spec.id), 0}};
    transaction.changes = {{records::job_key(spec.id), records::job_json(spec), std::nullopt}};
    const auto revision = store.commit(transaction);
    note("user      submits " + spec.id + ": " + std::to_string(spec.task_count) + " tasks" +
         (revision ? "" : ", known already"));
    specs[spec.id] = spec;
    if (!revision || !leader_state_) return;
    add_accepted_job(spec);
    if (watch_cache_->dependencies().is_cancelled(spec.id))
        leader_state_->job_cancelled_by_dependency(spec.id, now);
}

void LeaderSimulator::add_accepted_job(const model::JobSpec& spec) {
    watch_cache_->apply_put(records::job_key(spec.id), records::job_json(spec), store.revision, now);
    leader_state_->job_added(spec, store.revision, now);
}

// Updates the leader's watch cache with a job's outcome.
void LeaderSimulator::record_job_outcome(const std::string& id, const model::JobOutcome& outcome) {
    watch_cache_->apply_delete(records::job_key(id));
    watch_cache_->record_outcome(id, outcome, store.revision);
}

bool LeaderSimulator::cancel(const std::string& id, bool notify_leader) {
    const auto row = store.rows.find(records::job_key(id));
    if (row == store.rows.end()) return false;
    const model::JobOutcome outcome{model::FinalStatus::cancelled, wall_ms()};
    wire::Transaction transaction;
    transaction.conditions = {{records::job_key(id), row->second.mod_revision},
                              {records::outcome_key(id), 0}};
    transaction.changes = {{records::job_key(id), std::nullopt, std::nullopt},
                           {records::outcome_key(id), records::outcome_json(outcome), std::nullopt}};
    const bool committed = store.commit(transaction).has_value();
    note("user      cancels " + id + (committed ? ": withdrawn" : ": too late"));
    if (committed) cancelled_at[id] = now;
    if (committed && notify_leader && leader_state_) {
        leader_state_->job_cancelled(id, now);
        record_job_outcome(id, outcome);
    }
    return committed;
}

std::string LeaderSimulator::job_status(const std::string& id) const {
    if (const auto row = store.rows.find(records::outcome_key(id)); row != store.rows.end())
        return records::parse_outcome(row->second.value)->status == model::FinalStatus::done ? "done"
                                                                                             : "withdrawn";
    return store.rows.contains(records::job_key(id)) ? "accepted" : "unknown";
}

// --- the leader --------------------------------------------------------------------------------------------

void LeaderSimulator::begin_term() {
    const std::string leader_key(records::leader_key);
    ++fencing_token_;
    store.put(leader_key, records::leader_json({"c-0", fencing_token_, fencing_token_, fencing_token_}));
    leader_state_ = std::make_unique<cluster::ClusterState>(config, tuning, fencing_token_,
                                                            store.rows.at(leader_key).mod_revision, now);
    leader_state_->set_machine_types(machine_types());
    watch_cache_ = std::make_unique<store::WatchCache>();
    for (const auto& [key, row] : store.rows) watch_cache_->apply_put(key, row.value, row.mod_revision, now);
    watch_cache_->on_dependency_change = [this](const model::DependencyGraph::Change& change) {
        for (const auto& id : change.cancelled) leader_state_->job_cancelled_by_dependency(id, now);
    };
    leader_state_->load(*watch_cache_, now, wall_ms());
    if (sharding_allowed) leader_state_->allow_sharding();
    note("term      " + std::to_string(fencing_token_) + " begins");
}

void LeaderSimulator::plan() {
    leader_state_->detect_failures(now);
    leader_state_->plan(now, wall_ms(), {});
}

std::optional<cluster::WriteBatch> LeaderSimulator::next_write_batch(std::size_t operations) {
    return leader_state_->next_write_batch(operations);
}

bool LeaderSimulator::apply_batch(const cluster::WriteBatch& batch) {
    std::string keys;
    for (const auto& change : batch.transaction.changes)
        keys += (change.value ? " +" : " -") + change.key.substr(3);
    const auto revision = store.commit(batch.transaction);
    note("commit   " + keys + (revision ? "" : ": condition failed"));
    for (const auto& change : batch.transaction.changes)
        if (change.value) {
            EXPECT_LE(boost::json::serialize(*change.value).size(), config.max_value_kb * 1024);
        }
    EXPECT_LE(batch.transaction.changes.size(), static_cast<std::size_t>(config.max_transaction_changes));
    EXPECT_LE(batch.transaction.conditions.size(),
              4 * static_cast<std::size_t>(config.max_transaction_changes));
    if (!revision) return false;
    leader_state_->apply_commit(batch, *revision, now, wall_ms());
    for (const auto& finished_job : batch.finished_jobs)
        record_job_outcome(finished_job.job, finished_job.outcome);
    return true;
}

bool LeaderSimulator::commit_all() {
    constexpr int max_batches = 50;
    for (int i = 0; i < max_batches; ++i) {
        const auto batch = next_write_batch();
        if (!batch) return true;
        if (!apply_batch(*batch)) return false;
    }
    return true;
}

void LeaderSimulator::plan_and_commit(const std::string& machine) {
    plan();
    commit_all();
    if (!machine.empty()) send_heartbeat(machine);
}

// --- workers -----------------------------------------------------------------------------------------------

LeaderSimulator::Worker& LeaderSimulator::add_worker(const std::string& id, const std::string& type,
                                                     const std::string& zone, bool spot) {
    auto& worker = workers[id];
    worker.id = id;
    worker.type = type;
    worker.zone = zone;
    worker.spot = spot;
    return worker;
}

void LeaderSimulator::add_ready_workers(const std::vector<std::string>& ids) {
    for (const auto& id : ids) {
        add_worker(id);
        synchronize_worker(id);
    }
}

model::Heartbeat LeaderSimulator::next_heartbeat(Worker& worker) {
    model::Heartbeat heartbeat;
    heartbeat.machine = worker.id;
    heartbeat.address = "10.0.0.9:1";
    heartbeat.type = worker.type;
    heartbeat.zone = worker.zone;
    heartbeat.spot = worker.spot;
    heartbeat.agent_epoch = worker.agent_epoch;
    heartbeat.sequence = ++worker.sequence;
    heartbeat.fencing_token = worker.fencing_token;
    heartbeat.interruption_notice_s = worker.interruption_notice_s;
    heartbeat.tasks = worker.tasks;
    return heartbeat;
}

std::vector<Command> LeaderSimulator::send_heartbeat(const std::string& id, bool lost_response) {
    Worker& worker = workers.at(id);
    const bool applied = leader_state_->apply_heartbeat(next_heartbeat(worker), now);
    const auto commands = applied ? leader_state_->commands_for(id, true, now) : std::vector<Command>{};
    std::string line = "heartbeat " + id + " (" + std::to_string(worker.agent_epoch) + "," +
                       std::to_string(worker.sequence) + ")";
    for (const auto& task : worker.tasks) line += " " + describe(task);
    note(line + (applied ? "" : " is stale"));
    for (const auto& command : commands)
        note("response  " + id + ": " + describe(command) + (lost_response ? " (lost)" : ""));
    if (!lost_response) execute(worker, commands, leader_state_->fencing_token());
    return commands;
}

void LeaderSimulator::send_heartbeats(const std::vector<std::string>& ids) {
    for (const auto& id : ids) send_heartbeat(id);
}

void LeaderSimulator::execute(Worker& worker, const std::vector<Command>& commands,
                              std::uint64_t fencing_token) {
    if (fencing_token < worker.fencing_token) return;
    worker.fencing_token = fencing_token;
    for (const auto& command : commands) {
        const auto task = std::find_if(worker.tasks.begin(), worker.tasks.end(), [&](const auto& t) {
            return t.task == command.task && t.attempt == command.attempt;
        });
        const bool exists = task != worker.tasks.end();
        if (command.kind == Command::Kind::start) {
            if (!exists) execute_start(worker, command);
        } else if (exists && command.kind == Command::Kind::forget) {
            if (task->state == TaskState::exited) worker.tasks.erase(task);
        } else if (exists && task->state != TaskState::exited) {
            execute_stop(*task, command);
        }
    }
}

void LeaderSimulator::execute_start(Worker& worker, const Command& command) {
    ++starts;
    check_start(worker, command.task);
    worker.tasks.push_back({command.task, command.attempt, TaskState::fetching, ExitCause::none, false});
}

void LeaderSimulator::execute_stop(model::ReportedTask& task, const Command& command) const {
    const auto& spec = specs.at(command.task.job);
    if (task.state == TaskState::running && spec.checkpoint_interval_s > 0 &&
        command.grace_s >= spec.checkpoint_save_s)
        task.state = TaskState::checkpointing;
    else
        task = {task.task, task.attempt, TaskState::exited, ExitCause::stopped, false};
}

void LeaderSimulator::deliver_direct_commands() {
    for (const auto& direct : leader_state_->take_direct_commands()) {
        auto& worker = workers.at(direct.machine);
        for (const auto& command : direct.commands)
            note("/do       " + direct.machine + ": " + describe(command));
        if (!worker.hung && direct.agent_epoch == worker.agent_epoch)
            execute(worker, direct.commands, leader_state_->fencing_token());
    }
}

void LeaderSimulator::set_task_state(const std::string& task_name, TaskState state, ExitCause cause,
                                     bool checkpoint_saved) {
    for (auto& [id, worker] : workers)
        for (auto& task : worker.tasks) {
            if (task.task.job + "/" + std::to_string(task.task.index) != task_name) continue;
            if (task.state == TaskState::exited) continue;
            task.state = state;
            task.cause = cause;
            task.checkpoint_saved = checkpoint_saved;
        }
}

void LeaderSimulator::expire_worker_lease(const std::string& id) {
    auto& worker = workers.at(id);
    worker.tasks.clear();
    ++worker.agent_epoch;
    note("worker    " + id + ": its lease expired, agent epoch " + std::to_string(worker.agent_epoch));
}

void LeaderSimulator::synchronize_worker(const std::string& id) {
    send_heartbeat(id);
    advance(0.5);
    send_heartbeat(id);
}

void LeaderSimulator::run_placed_tasks(const std::string& machine) {
    plan_and_commit(machine);
    for (auto& task : workers.at(machine).tasks)
        if (task.state == TaskState::fetching) task.state = TaskState::running;
    advance(0.5);
    send_heartbeat(machine);
}

void LeaderSimulator::run_job(const model::JobSpec& spec, const std::string& machine) {
    submit(spec);
    run_placed_tasks(machine);
}

// --- invariants of every start -----------------------------------------------------------------------------
// These checks use the tasks of all simulated workers, which no leader can see at once.

void LeaderSimulator::check_start(const Worker& worker, const model::TaskId& task) const {
    for (const auto& [id, other] : workers)
        for (const auto& t : other.tasks) {
            if (t.state == TaskState::exited) continue;
            EXPECT_FALSE(t.task == task && id != worker.id)
                << "ran_twice: " << task.job << "/" << task.index << " on " << id << " and " << worker.id;
        }
    const auto& spec = specs.at(task.job);
    check_quota(spec);
    check_placement(worker, spec);
    const auto cancelled = cancelled_at.find(task.job);
    EXPECT_TRUE(cancelled == cancelled_at.end() || now <= cancelled->second + config.cancellation_timeout_s)
        << "ran_cancelled: " << task.job;
}

void LeaderSimulator::check_quota(const model::JobSpec& spec) const {
    double cpus = spec.task_resources.cpus;
    double gpus = spec.task_resources.gpus;
    for (const auto& [id, worker] : workers)
        for (const auto& task : worker.tasks) {
            const auto& other = specs.at(task.task.job);
            if (task.state == TaskState::exited || other.team != spec.team) continue;
            cpus += other.task_resources.cpus;
            gpus += other.task_resources.gpus;
        }
    for (const auto& team : config.teams) {
        if (team.name != spec.team) continue;
        EXPECT_TRUE(team.cpus_max <= 0 || cpus <= team.cpus_max) << "quota: " << spec.team;
        EXPECT_TRUE(team.gpus_max <= 0 || gpus <= team.gpus_max) << "quota: " << spec.team;
    }
}

void LeaderSimulator::check_placement(const Worker& worker, const model::JobSpec& spec) const {
    std::map<std::string, std::uint32_t> tasks_by_zone{{worker.zone, 1}};
    for (const auto& [id, other] : workers)
        for (const auto& task : other.tasks)
            if (task.state != TaskState::exited && task.task.job == spec.id) ++tasks_by_zone[other.zone];
    EXPECT_TRUE(scheduling::allowed_on(spec, worker.type, worker.zone, worker.spot))
        << "wrong_place: " << spec.id << " on " << worker.id;
    EXPECT_TRUE(!spec.same_zone || tasks_by_zone.size() == 1)
        << "wrong_place: " << spec.id << " in two zones";
    for (const auto& [zone, tasks] : tasks_by_zone)
        EXPECT_TRUE(!spec.spread || tasks <= (spec.task_count + 1) / 2)
            << "wrong_place: too many of " << spec.id << " in " << zone;
}

// --- cloud -------------------------------------------------------------------------------------------------

std::vector<model::ProvisioningRequest> LeaderSimulator::provision_machines() {
    std::vector<model::ProvisioningRequest> requests;
    while (const auto request = leader_state_->next_provisioning_request()) {
        auto& machines = machines_by_request_[request->name];
        const bool is_repeat = !machines.empty();
        while (machines.size() < request->count)
            machines.push_back("m-" + std::to_string(++last_machine_number_));
        std::string line = "cloud     " + request->name + ": " + std::to_string(request->count) + " " +
                           request->type + " in " + request->zone + (request->spot ? ", spot" : "") +
                           (is_repeat ? ", repeated request:" : ":");
        for (const auto& id : machines) {
            line += " " + id;
            if (!workers.contains(id)) add_worker(id, request->type, request->zone, request->spot);
        }
        note(line);
        leader_state_->machines_provisioned(request->name, machines, now);
        requests.push_back(*request);
    }
    return requests;
}

void LeaderSimulator::release_machines() {
    const auto ids = leader_state_->machines_to_release(now);
    if (ids.empty()) return;
    std::string line = "cloud     released";
    for (const auto& id : ids) {
        line += " " + id;
        workers.erase(id);
    }
    note(line);
    leader_state_->machines_released(ids, now);
}

StartedLeader::StartedLeader(const std::string& trace, const std::vector<std::string>& ready_workers)
    : LeaderSimulator(trace) {
    begin_term();
    add_ready_workers(ready_workers);
}

}  // namespace pineroad::test
