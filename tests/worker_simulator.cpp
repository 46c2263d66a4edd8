#include "worker_simulator.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>
#include <utility>

#include "cluster_simulator.hpp"

namespace pineroad::test {

namespace json = boost::json;
using model::ExitCause;
using model::TaskState;

namespace {

constexpr double response_timeout_s = 4;
constexpr double next_controller_delay_s = 1;
constexpr double min_heartbeat_interval_s = 0.5;

model::TaskId task_id(const std::string& name) {
    const auto slash = name.find('/');
    return {name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
}

}  // namespace

void WorkerSimulator::add_machine(const std::string& id, const std::string& zone, const std::string& type,
                                  bool spot) {
    auto& machine = machines[id];
    machine.id = id;
    machine.zone = zone;
    machine.type = type;
    machine.spot = spot;
    machine.controller = static_cast<int>(machines.size()) % cluster_.controllers();
    machine.lease_renewed_at = machine.provisioned_at = cluster_.now();
    machine.next_heartbeat_at = cluster_.now() + 0.1 * static_cast<double>(machines.size() % 10);
}

bool WorkerSimulator::can_communicate(const SimulatedMachine& machine, int controller) const {
    return partitioned_zone.empty() ||
           (machine.zone == partitioned_zone) == (controller == partitioned_zone_controller);
}

bool WorkerSimulator::has_live_task_of(const std::string& job) const {
    return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
        const auto& tasks = entry.second.tasks;
        return std::any_of(tasks.begin(), tasks.end(), [&](const SimulatedTask& task) {
            return task.id.job == job && task.state != TaskState::exited;
        });
    });
}

SimulatedMachine& WorkerSimulator::machine_with_task_of(const std::string& job) {
    const auto found = std::find_if(machines.begin(), machines.end(),
                                    [&](const auto& entry) { return entry.second.has_task_of(job); });
    if (found == machines.end()) throw std::logic_error("no machine has " + job);
    return found->second;
}

std::size_t WorkerSimulator::executing_task_count() const {
    std::size_t tasks = 0;
    for (const auto& [id, machine] : machines) tasks += machine.executing_task_count();
    return tasks;
}

// --- time --------------------------------------------------------------------------------------------------

void WorkerSimulator::step(double seconds) {
    for (auto& [id, machine] : machines) {
        if (!machine.fault.hung) step_machine(machine, seconds);
        for (const auto& task : machine.tasks) invariants.check_execution(machine, task, cluster_.now());
    }
    deliver_delayed_heartbeats();
}

void WorkerSimulator::step_machine(SimulatedMachine& machine, double seconds) {
    for (const auto& [controller, body] : std::exchange(machine.queued_direct_commands, {}))
        handle_direct_command(controller, machine.id, body);
    run_tasks(machine, seconds);
    if (cluster_.now() - machine.lease_renewed_at > worker_lease_s) expire_lease(machine);
    receive_response(machine);
    send_heartbeat(machine);
}

double WorkerSimulator::run_time_of(const model::TaskId& task) const {
    const auto configured = task_run_s.find(name_of(task));
    return configured == task_run_s.end() ? default_task_run_s : configured->second;
}

void WorkerSimulator::run_tasks(SimulatedMachine& machine, double seconds) {
    const double now = cluster_.now();
    for (auto& task : machine.tasks) {
        if (task.state == TaskState::fetching && now >= task.image_fetched_at) {
            task.state = TaskState::running;
            machine.has_unreported_change = true;
            invariants.check_start(machine, task);
        } else if (task.state == TaskState::running) {
            task.run_time_s += seconds;
            if (task.run_time_s < run_time_of(task.id)) continue;
            task.state = TaskState::exited;
            task.cause = ExitCause::done;
            invariants.record_task_completion(task.id);
            machine.has_unreported_change = true;
        } else if (task.state == TaskState::checkpointing && now >= task.checkpoint_complete_at) {
            task.state = TaskState::exited;
            task.cause = ExitCause::stopped;
            task.checkpoint_saved = true;
            machine.has_unreported_change = true;
        }
    }
}

// The worker itself ends its tasks and begins a new agent epoch.
void WorkerSimulator::expire_lease(SimulatedMachine& machine) {
    tasks_killed_by_lease_expiry += static_cast<int>(machine.executing_task_count());
    machine.tasks.clear();
    ++machine.agent_epoch;
    machine.lease_renewed_at = cluster_.now();
    machine.heartbeat_response.reset();
    machine.heartbeat_sent_at = -1;
}

// --- heartbeats --------------------------------------------------------------------------------------------

void WorkerSimulator::deliver_delayed_heartbeats() {
    for (auto& heartbeat : std::exchange(delayed_heartbeats_, {})) {
        if (heartbeat.deliver_at > cluster_.now() || hold_heartbeats)
            delayed_heartbeats_.push_back(std::move(heartbeat));
        else  // the response is ignored
            cluster_.send_request(heartbeat.controller, "POST", "/checkin", heartbeat.body);
    }
}

std::string WorkerSimulator::heartbeat_body(const SimulatedMachine& machine) {
    json::array tasks;
    for (const auto& task : machine.tasks) {
        json::object entry{
            {"Piece", name_of(task.id)}, {"Try", task.attempt}, {"Status", name_of(task.state)}};
        if (task.state == TaskState::exited) {
            entry["Cause"] = task.cause == ExitCause::done ? "done" : "stopped";
            entry["Saved"] = task.checkpoint_saved;
        }
        tasks.push_back(entry);
    }
    return json::serialize(
        json::object{{"Host", machine.id},
                     {"Address", machine.id + ":9000"},
                     {"Breed", machine.type},
                     {"Yard", machine.zone},
                     {"Loaners", machine.spot},
                     {"Stint", machine.agent_epoch},
                     {"Tick", machine.sequence},
                     {"Baton", machine.fencing_token},
                     {"WarningS", machine.interruption_notice_s ? json::value(*machine.interruption_notice_s)
                                                                : json::value(nullptr)},
                     {"Pieces", tasks}});
}

void WorkerSimulator::send_heartbeat(SimulatedMachine& machine) {
    const double now = cluster_.now();
    if (machine.heartbeat_sent_at >= 0) return;
    const bool early_heartbeat_due =
        machine.has_unreported_change &&
        now >= machine.next_heartbeat_at - heartbeat_period_s + min_heartbeat_interval_s;
    if (now < machine.next_heartbeat_at && !early_heartbeat_due) return;
    machine.has_unreported_change = false;
    ++machine.sequence;
    machine.heartbeat_sent_at = now;
    machine.next_heartbeat_at = now + heartbeat_period_s;
    machine.heartbeat_response.reset();
    if (machine.fault.outbound_partition || !can_communicate(machine, machine.controller)) return;
    const auto body = heartbeat_body(machine);
    if (duplicate_heartbeats_after_s > 0)
        delayed_heartbeats_.push_back({now + duplicate_heartbeats_after_s, machine.controller, body});
    if (hold_heartbeats)
        delayed_heartbeats_.push_back({now, machine.controller, body});
    else
        machine.heartbeat_response = cluster_.send_request(machine.controller, "POST", "/checkin", body);
}

void WorkerSimulator::receive_response(SimulatedMachine& machine) {
    const double now = cluster_.now();
    if (machine.heartbeat_sent_at < 0) return;
    const bool received =
        machine.heartbeat_response && *machine.heartbeat_response && !machine.fault.inbound_partition;
    if (!received) {
        if (now - machine.heartbeat_sent_at < response_timeout_s) return;
        machine.controller = (machine.controller + 1) % cluster_.controllers();
        machine.next_heartbeat_at = now + next_controller_delay_s;
    } else if (const auto& response = **machine.heartbeat_response; response.status == 200) {
        apply_response(machine, response.body);
    } else {
        follow_redirect(machine, response);
    }
    machine.heartbeat_response.reset();
    machine.heartbeat_sent_at = -1;
}

void WorkerSimulator::apply_response(SimulatedMachine& machine, const std::string& body) {
    const auto response = json::parse(body);
    const auto fencing_token = response.at("Baton").to_number<std::uint64_t>();
    if (fencing_token < machine.fencing_token) return;
    machine.has_unreported_change |= fencing_token > machine.fencing_token;
    machine.fencing_token = fencing_token;
    machine.lease_renewed_at = std::max(machine.lease_renewed_at, machine.heartbeat_sent_at);
    if (!response.at("Orders").as_array().empty())
        carried_out.push_back({CommandChannel::heartbeat_response, machine.id, machine.controller,
                               machine.heartbeat_sent_at, machine.agent_epoch, body});
    execute(machine, response);
}

// Switches to the next controller after a delay, or to the leader at once if the response names it.
void WorkerSimulator::follow_redirect(SimulatedMachine& machine, const net::Response& response) const {
    machine.controller = (machine.controller + 1) % cluster_.controllers();
    machine.next_heartbeat_at = cluster_.now() + next_controller_delay_s;
    if (response.status != 421) return;
    const auto error_body = json::parse(response.body);
    const auto* leader_name = error_body.as_object().if_contains("Foreman");
    if (!leader_name) return;
    const int leader = leader_name->as_string().back() - '0';
    if (leader == machine.controller) return;
    machine.controller = leader;
    machine.next_heartbeat_at = cluster_.now();
}

// --- commands ----------------------------------------------------------------------------------------------

void WorkerSimulator::execute(SimulatedMachine& machine, const wire::Json& message) {
    for (const auto& command : message.at("Orders").as_array()) {
        const std::string verb(command.at("Verb").as_string());
        const auto id = task_id(std::string(command.at("Piece").as_string()));
        const auto attempt = command.at("Try").to_number<std::uint64_t>();
        const auto task =
            std::find_if(machine.tasks.begin(), machine.tasks.end(),
                         [&](const SimulatedTask& t) { return t.id == id && t.attempt == attempt; });
        const bool exists = task != machine.tasks.end();
        if ((verb == "start") == exists) continue;
        if (verb == "start") {
            execute_start(machine, id, attempt);
        } else if (verb == "reap") {
            if (task->state == TaskState::exited) machine.tasks.erase(task);
        } else if (task->state != TaskState::exited) {
            const auto* grace = command.as_object().if_contains("LeewayS");
            execute_stop(*task, grace ? grace->to_number<double>() : 0);
        }
        machine.has_unreported_change = true;
    }
}

void WorkerSimulator::execute_start(SimulatedMachine& machine, const model::TaskId& id,
                                    std::uint64_t attempt) {
    ++starts;
    starts_after_confirmed_cancellation += invariants.is_cancellation_confirmed(id.job);
    SimulatedTask task;
    task.id = id;
    task.attempt = attempt;
    task.image_fetched_at = cluster_.now() + image_fetch_s;
    machine.tasks.push_back(std::move(task));
}

void WorkerSimulator::execute_stop(SimulatedTask& task, double grace_s) {
    ++stops;
    if (task.state == TaskState::running && grace_s > 0) {
        task.state = TaskState::checkpointing;
        task.checkpoint_complete_at = cluster_.now() + checkpoint_duration_s;
    } else if (task.state != TaskState::checkpointing || grace_s <= 0) {
        task.state = TaskState::exited;
        task.cause = ExitCause::stopped;
    }
}

std::optional<net::Response> WorkerSimulator::handle_direct_command(int controller, const std::string& id,
                                                                    const std::string& body) {
    const auto found = machines.find(id);
    if (found == machines.end()) return std::nullopt;
    auto& machine = found->second;
    if (machine.fault.inbound_partition || !can_communicate(machine, controller)) return std::nullopt;
    if (machine.fault.hung) {
        machine.queued_direct_commands.emplace_back(controller, body);
        return std::nullopt;
    }
    auto response = execute_direct_command(machine, body);
    if (response.status == 200)
        carried_out.push_back(
            {CommandChannel::direct_command, id, controller, -1, machine.agent_epoch, body});
    return response;
}

net::Response WorkerSimulator::execute_direct_command(SimulatedMachine& machine, const std::string& body) {
    const auto command = json::parse(body);
    const auto fencing_token = command.at("Baton").to_number<std::uint64_t>();
    ++machine.sequence;
    if (fencing_token < machine.fencing_token ||
        command.at("Stint").to_number<std::uint64_t>() != machine.agent_epoch)
        return net::Response{409, heartbeat_body(machine)};
    machine.fencing_token = fencing_token;
    execute(machine, command);
    return net::Response{200, heartbeat_body(machine)};
}

bool WorkerSimulator::deliver_copy(const CommandMessage& message) {
    const auto found = machines.find(message.machine);
    if (found == machines.end()) return false;
    auto& machine = found->second;
    if (machine.fault.hung || machine.fault.inbound_partition) return false;
    if (message.channel == CommandChannel::direct_command)
        return execute_direct_command(machine, message.body).status == 200;
    if (!accepts_response_copy(machine, message)) return false;
    execute(machine, json::parse(message.body));
    return true;
}

bool WorkerSimulator::accepts_response_copy(const SimulatedMachine& machine,
                                            const CommandMessage& message) const {
    const auto fencing_token = json::parse(message.body).at("Baton").to_number<std::uint64_t>();
    return cluster_.now() - message.heartbeat_sent_at <= response_timeout_s &&
           message.heartbeat_sent_at >= machine.worker_started_at &&
           message.agent_epoch == machine.agent_epoch && fencing_token >= machine.fencing_token;
}

void WorkerSimulator::restart_worker(const std::string& id) {
    auto& machine = machines.at(id);
    machine.tasks.clear();
    machine.agent_epoch = 1;
    machine.sequence = machine.fencing_token = 0;
    machine.has_unreported_change = false;
    machine.lease_renewed_at = machine.next_heartbeat_at = machine.worker_started_at = cluster_.now();
    machine.heartbeat_response.reset();
    machine.heartbeat_sent_at = -1;
}

// --- the cloud ---------------------------------------------------------------------------------------------

net::Response WorkerSimulator::list_machine_types() const {
    if (!offered_types) return {503, R"({"error":"trouble"})"};
    return {200, json::serialize(wire::machine_types_json(*offered_types))};
}

net::Response WorkerSimulator::handle_cloud_request(const std::string& method, const std::string& target,
                                                    const std::string& body) {
    if (method == "GET") return list_machines();
    const auto request = json::parse(body);
    return target == wire::release_path ? release_machines(request) : provision_machines(request);
}

net::Response WorkerSimulator::list_machines() const {
    json::array hosts;
    for (const auto& [id, machine] : machines)
        hosts.push_back(json::object{{"NameId", id},
                                     {"Address", id + ":9000"},
                                     {"Breed", machine.type},
                                     {"Yard", machine.zone},
                                     {"Loaners", machine.spot},
                                     {"Status", "running"},
                                     {"HeldS", cluster_.now() - machine.provisioned_at}});
    return {200, json::serialize(json::object{{"Hosts", hosts}, {"Truncated", false}})};
}

net::Response WorkerSimulator::release_machines(const wire::Json& request) {
    for (const auto& id : request.at("Hosts").as_array()) machines.erase(std::string(id.as_string()));
    return {200, "{}"};
}

// Idempotent: a repeated request returns the machines of the first one.
net::Response WorkerSimulator::provision_machines(const wire::Json& request) {
    auto& machine_ids = machines_by_request_[std::string(request.at("Hire").as_string())];
    const bool is_repeat = !machine_ids.empty();
    for (auto remaining = request.at("Count").to_number<int>();
         !is_repeat && remaining > 0 && machines.size() < cloud_capacity; --remaining) {
        const auto id = "m-" + std::to_string(++last_machine_number_);
        add_machine(id, std::string(request.at("Yard").as_string()),
                    std::string(request.at("Breed").as_string()), request.at("Loaners").as_bool());
        machine_ids.emplace_back(id);
    }
    if (machine_ids.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, json::serialize(json::object{{"Hosts", machine_ids}})};
}

}  // namespace pineroad::test
