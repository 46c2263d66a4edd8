#include "cluster/command_delivery.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "cluster/job_shards.hpp"
#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;
using model::Command;

namespace {

// Time after which a worker has dropped a heartbeat response, by this controller's clock.
constexpr double response_lifetime_s = c::heartbeat_response_timeout_s * (1 + c::max_clock_drift);

bool is_recently_started(const Machine& machine, const ExitedTask& exited) {
    return std::any_of(machine.recent_starts.begin(), machine.recent_starts.end(),
                       [&](const RecentStart& start) {
                           return start.task == exited.task && start.attempt == exited.attempt;
                       });
}

// Returns whether the worker holds an exited attempt of the task that it may not forget yet.
bool holds_recent_attempt(const Machine& machine, const model::TaskId& task) {
    return std::any_of(machine.exited_tasks.begin(), machine.exited_tasks.end(),
                       [&](const ExitedTask& exited) {
                           return exited.task == task && is_recently_started(machine, exited);
                       });
}

}  // namespace

bool CommandDelivery::placements_durable(const std::string& id) const {
    const Machine* machine = std::as_const(machines_).find(id);
    if (!machine) return true;
    return std::none_of(machine->tasks.begin(), machine->tasks.end(), [](const PlacedTask& task) {
        const TaskPlacement& placement = task.placement();
        return !placement.is_confirmed() && !placement.is_stopping() && !is_durable(*task.job, placement);
    });
}

bool CommandDelivery::has_pending_commands(const std::string& id) const {
    const Machine* machine = std::as_const(machines_).find(id);
    if (!machine || !placements_durable(id)) return false;
    return std::any_of(machine->tasks.begin(), machine->tasks.end(), [](const PlacedTask& task) {
        const TaskPlacement& placement = task.placement();
        return placement.is_stopping() || !placement.is_confirmed();
    });
}

std::vector<Command> CommandDelivery::commands_for(const std::string& id, bool may_start_tasks, double now) {
    std::vector<Command> commands;
    Machine* machine = machines_.find(id);
    if (!machine) return commands;
    std::erase_if(machine->recent_starts,
                  [&](const RecentStart& start) { return start.acceptable_until_s <= now; });
    if (!machine->token_confirmed()) return stops_of_cancelled_jobs(*machine);
    if (!add_forget_commands(*machine, commands)) return commands;
    for (const auto& task : machine->unknown_tasks)
        commands.push_back({Command::Kind::stop, task.task, task.attempt, 0});
    add_starts_and_stops(*machine, may_start_tasks && machines_.is_schedulable(*machine, now), now, commands);
    return commands;
}

// The response to this worker renews its lease, and the next response may not reach it, so tasks that must
// not run are stopped with this one. No other commands are sent, since the heartbeat may be older than the
// latest commands of an earlier term.
std::vector<Command> CommandDelivery::stops_of_cancelled_jobs(const Machine& machine) const {
    std::vector<Command> commands;
    for (const auto& task : machine.tasks_under_older_token) {
        const Job* job = std::as_const(jobs_).find(task.task.job);
        const bool is_cancelled = !job || !job->spec || job->is_cancelled();
        if (is_cancelled && task.state != model::TaskState::exited &&
            commands.size() < c::max_commands_per_response)
            commands.push_back({Command::Kind::stop, task.task, task.attempt, 0});
    }
    return commands;
}

// The worker may forget an exited task only once the exit that it reported is durable, and once it drops the
// response that started the task: it does nothing about a start of an attempt that it still holds.
bool CommandDelivery::add_forget_commands(Machine& machine, std::vector<Command>& commands) const {
    for (const auto& exited : machine.exited_tasks) {
        const Job* job = std::as_const(jobs_).find(exited.task.job);
        if (job && durable_version_of_task(*job, exited.task.index) < exited.version) continue;
        if (is_recently_started(machine, exited)) continue;
        commands.push_back({Command::Kind::forget, exited.task, exited.attempt, 0});
        machine.sent_forget_commands.push_back({exited.task, exited.attempt});
        if (commands.size() >= c::max_commands_per_response) return false;
    }
    return true;
}

void CommandDelivery::add_starts_and_stops(Machine& machine, bool may_start_tasks, double now,
                                           std::vector<Command>& commands) const {
    for (const auto& task : machine.tasks) {
        if (commands.size() >= c::max_commands_per_response) break;
        const Job& job = *task.job;
        TaskPlacement& placement = task.placement();
        if (placement.is_stopping()) {
            if (!placement.is_unsent())
                commands.push_back(
                    {Command::Kind::stop, {job.id, task.index}, placement.attempt, placement.stop->grace_s});
        } else if (!placement.is_confirmed() && may_start_tasks && jobs_.may_run(job) &&
                   is_durable(job, placement)) {
            const model::TaskId id{job.id, task.index};
            if (holds_recent_attempt(machine, id)) continue;  // a worker runs one attempt of a task at a time
            commands.push_back({Command::Kind::start, id, placement.attempt, 0});
            machine.recent_starts.push_back({id, placement.attempt, now + response_lifetime_s});
            placement.mark_start_sent();
        }
    }
}

TaskPlacement* CommandDelivery::find_unsent_stop(const UnsentStop& stop) {
    Job* job = jobs_.find(stop.job);
    if (!job) return nullptr;
    const auto found = job->placements.find(stop.task);
    if (found == job->placements.end()) return nullptr;
    TaskPlacement& placement = found->second;
    return placement.is_stopping() && !placement.stop->sent_directly ? &placement : nullptr;
}

std::vector<DirectCommands> CommandDelivery::take_direct_commands() {
    std::map<std::string, DirectCommands> by_machine;
    std::vector<UnsentStop> deferred;
    for (auto& stop : stop_requests_.take_unsent()) {
        TaskPlacement* placement = find_unsent_stop(stop);
        if (!placement) continue;
        const Machine* machine = machines_.find(placement->machine);
        const bool can_be_sent =
            placement->is_confirmed() && machine && machine->token_confirmed() && !machine->address.empty();
        if (!can_be_sent) {
            deferred.push_back(std::move(stop));  // retried until a heartbeat shows the task
            continue;
        }
        DirectCommands& direct = by_machine[placement->machine];
        direct.machine = placement->machine;
        direct.address = machine->address;
        direct.agent_epoch = machine->agent_epoch;
        if (direct.commands.size() >= c::max_commands_per_response) {
            deferred.push_back(std::move(stop));
            continue;
        }
        direct.commands.push_back(
            {Command::Kind::stop, {stop.job, stop.task}, placement->attempt, placement->stop->grace_s});
        placement->stop->sent_directly = true;
    }
    stop_requests_.defer(std::move(deferred));
    std::vector<DirectCommands> direct_commands;
    direct_commands.reserve(by_machine.size());
    for (auto& [machine, direct] : by_machine) direct_commands.push_back(std::move(direct));
    return direct_commands;
}

}  // namespace pineroad::cluster
