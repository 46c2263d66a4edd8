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

constexpr double answer_timeout_s = 4;
constexpr double next_controller_s = 1;
constexpr double least_heartbeat_gap_s = 0.5;
constexpr double checkpoint_interval_s = 2;  // to write one

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
    machine.lease_from = machine.provisioned_at = cluster_.now();
    machine.next_heartbeat = cluster_.now() + 0.1 * static_cast<double>(machines.size() % 10);
}

bool WorkerSimulator::reaches(const SimulatedMachine& machine, int controller) const {
    return partitioned_zone.empty() ||
           (machine.zone == partitioned_zone) == (controller == partitioned_zone_controller);
}

bool WorkerSimulator::runs(const std::string& job) const {
    return std::any_of(machines.begin(), machines.end(), [&](const auto& entry) {
        const auto& tasks = entry.second.tasks;
        return std::any_of(tasks.begin(), tasks.end(), [&](const SimulatedTask& task) {
            return task.id.job == job && task.state != TaskState::exited;
        });
    });
}

SimulatedMachine& WorkerSimulator::machine_with(const std::string& job) {
    const auto at = std::find_if(machines.begin(), machines.end(),
                                 [&](const auto& entry) { return entry.second.has_task_of(job); });
    if (at == machines.end()) throw std::logic_error("no machine has " + job);
    return at->second;
}

std::size_t WorkerSimulator::running_tasks() const {
    std::size_t tasks = 0;
    for (const auto& [id, machine] : machines) tasks += machine.executing_tasks();
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
    for (const auto& [from, body] : std::exchange(machine.held_commands, {}))
        direct_command(from, machine.id, body);
    run_tasks(machine, seconds);
    if (cluster_.now() - machine.lease_from > worker_lease_s) expire_lease(machine);
    receive_answer(machine);
    send_heartbeat(machine);
}

double WorkerSimulator::run_time_of(const model::TaskId& task) const {
    const auto own = task_run_s.find(name_of(task));
    return own == task_run_s.end() ? default_task_run_s : own->second;
}

void WorkerSimulator::run_tasks(SimulatedMachine& machine, double seconds) {
    const double now = cluster_.now();
    for (auto& task : machine.tasks) {
        if (task.state == TaskState::fetching && now >= task.fetched_at) {
            task.state = TaskState::running;
            machine.changed = true;
            invariants.check_start(machine, task);
        } else if (task.state == TaskState::running) {
            task.checkpointed_run_s += seconds;
            if (task.checkpointed_run_s < run_time_of(task.id)) continue;
            task.state = TaskState::exited;
            task.cause = ExitCause::done;
            invariants.task_completed(task.id);
            machine.changed = true;
        } else if (task.state == TaskState::checkpointing && now >= task.saves_until) {
            task.state = TaskState::exited;
            task.cause = ExitCause::stopped;
            task.saved = true;
            machine.changed = true;
        }
    }
}

// The worker ends its tasks itself, and a new agent epoch begins.
void WorkerSimulator::expire_lease(SimulatedMachine& machine) {
    killed_by_lease += static_cast<int>(machine.executing_tasks());
    machine.tasks.clear();
    ++machine.agent_epoch;
    machine.lease_from = cluster_.now();
    machine.answer.reset();
    machine.sent_at = -1;
}

// --- heartbeats --------------------------------------------------------------------------------------------

void WorkerSimulator::deliver_delayed_heartbeats() {
    for (auto& heartbeat : std::exchange(delayed_heartbeats_, {})) {
        if (heartbeat.at > cluster_.now() || hold_heartbeats)
            delayed_heartbeats_.push_back(std::move(heartbeat));
        else  // nobody waits for the answer
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
            entry["Saved"] = task.saved;
        }
        tasks.push_back(entry);
    }
    return json::serialize(json::object{{"Host", machine.id},
                                        {"Address", machine.id + ":9000"},
                                        {"Breed", machine.type},
                                        {"Yard", machine.zone},
                                        {"Loaners", machine.spot},
                                        {"Stint", machine.agent_epoch},
                                        {"Tick", machine.sequence},
                                        {"Baton", machine.fencing_token},
                                        {"Pieces", tasks}});
}

void WorkerSimulator::send_heartbeat(SimulatedMachine& machine) {
    const double now = cluster_.now();
    if (machine.sent_at >= 0) return;
    const bool tasks_under_older_token =
        machine.changed && now >= machine.next_heartbeat - heartbeat_period_s + least_heartbeat_gap_s;
    if (now < machine.next_heartbeat && !tasks_under_older_token) return;
    machine.changed = false;
    ++machine.sequence;
    machine.sent_at = now;
    machine.next_heartbeat = now + heartbeat_period_s;
    machine.answer.reset();
    if (machine.fault.outbound_partition || !reaches(machine, machine.controller)) return;
    const auto body = heartbeat_body(machine);
    if (duplicate_heartbeats_after_s > 0)
        delayed_heartbeats_.push_back({now + duplicate_heartbeats_after_s, machine.controller, body});
    if (hold_heartbeats)
        delayed_heartbeats_.push_back({now, machine.controller, body});
    else
        machine.answer = cluster_.send_request(machine.controller, "POST", "/checkin", body);
}

void WorkerSimulator::receive_answer(SimulatedMachine& machine) {
    const double now = cluster_.now();
    if (machine.sent_at < 0) return;
    const bool received = machine.answer && *machine.answer && !machine.fault.inbound_partition;
    if (!received) {
        if (now - machine.sent_at < answer_timeout_s) return;
        machine.controller = (machine.controller + 1) % cluster_.controllers();
        machine.next_heartbeat = now + next_controller_s;
    } else if (const auto& reply = **machine.answer; reply.status == 200) {
        accept_answer(machine, json::parse(reply.body));
    } else {
        follow_redirect(machine, reply);
    }
    machine.answer.reset();
    machine.sent_at = -1;
}

void WorkerSimulator::accept_answer(SimulatedMachine& machine, const wire::Json& answer) {
    const auto fencing_token = answer.at("Baton").to_number<std::uint64_t>();
    if (fencing_token < machine.fencing_token) return;
    machine.changed |= fencing_token > machine.fencing_token;
    machine.fencing_token = fencing_token;
    machine.lease_from = std::max(machine.lease_from, machine.sent_at);
    execute(machine, answer);
}

// To the next controller; at once, if the refusal names the leader.
void WorkerSimulator::follow_redirect(SimulatedMachine& machine, const net::Reply& reply) const {
    machine.controller = (machine.controller + 1) % cluster_.controllers();
    machine.next_heartbeat = cluster_.now() + next_controller_s;
    if (reply.status != 421) return;
    const auto refusal = json::parse(reply.body);
    const auto* named = refusal.as_object().if_contains("Foreman");
    if (!named) return;
    const int leader = named->as_string().back() - '0';
    if (leader == machine.controller) return;
    machine.controller = leader;
    machine.next_heartbeat = cluster_.now();
}

// --- commands ----------------------------------------------------------------------------------------------

void WorkerSimulator::execute(SimulatedMachine& machine, const wire::Json& answer) {
    for (const auto& order : answer.at("Orders").as_array()) {
        const std::string verb(order.at("Verb").as_string());
        const auto id = task_id(std::string(order.at("Piece").as_string()));
        const auto attempt = order.at("Try").to_number<std::uint64_t>();
        const auto task =
            std::find_if(machine.tasks.begin(), machine.tasks.end(),
                         [&](const SimulatedTask& t) { return t.id == id && t.attempt == attempt; });
        const bool known = task != machine.tasks.end();
        if ((verb == "start") == known) continue;
        if (verb == "start") {
            execute_start(machine, id, attempt);
        } else if (verb == "reap") {
            if (task->state == TaskState::exited) machine.tasks.erase(task);
        } else if (task->state != TaskState::exited) {
            const auto* grace = order.as_object().if_contains("LeewayS");
            execute_stop(*task, grace ? grace->to_number<double>() : 0);
        }
        machine.changed = true;
    }
}

void WorkerSimulator::execute_start(SimulatedMachine& machine, const model::TaskId& id,
                                    std::uint64_t attempt) {
    ++starts;
    starts_after_confirmed_cancellation += invariants.cancellation_confirmed(id.job);
    SimulatedTask task;
    task.id = id;
    task.attempt = attempt;
    task.fetched_at = cluster_.now() + fetch_s;
    machine.tasks.push_back(std::move(task));
}

void WorkerSimulator::execute_stop(SimulatedTask& task, double grace_s) {
    ++stops;
    if (task.state == TaskState::running && grace_s > 0) {
        task.state = TaskState::checkpointing;
        task.saves_until = cluster_.now() + checkpoint_interval_s;
    } else if (task.state != TaskState::checkpointing || grace_s <= 0) {
        task.state = TaskState::exited;
        task.cause = ExitCause::stopped;
    }
}

std::optional<net::Reply> WorkerSimulator::direct_command(int from, const std::string& id,
                                                          const std::string& body) {
    const auto at = machines.find(id);
    if (at == machines.end()) return std::nullopt;
    auto& machine = at->second;
    if (machine.fault.inbound_partition || !reaches(machine, from)) return std::nullopt;
    if (machine.fault.hung) {
        machine.held_commands.emplace_back(from, body);
        return std::nullopt;
    }
    const auto command = json::parse(body);
    const auto fencing_token = command.at("Baton").to_number<std::uint64_t>();
    ++machine.sequence;
    if (fencing_token < machine.fencing_token ||
        command.at("Stint").to_number<std::uint64_t>() != machine.agent_epoch)
        return net::Reply{409, heartbeat_body(machine)};
    machine.fencing_token = fencing_token;
    execute(machine, command);
    return net::Reply{200, heartbeat_body(machine)};
}

// --- the cloud ---------------------------------------------------------------------------------------------

net::Reply WorkerSimulator::answer_cloud_request(const std::string& method, const std::string& target,
                                                 const std::string& body) {
    if (method == "GET") return list_machines();
    const auto request = json::parse(body);
    return target == wire::release_path ? release(request) : provision(request);
}

net::Reply WorkerSimulator::list_machines() const {
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

net::Reply WorkerSimulator::release(const wire::Json& request) {
    for (const auto& id : request.at("Hosts").as_array()) machines.erase(std::string(id.as_string()));
    return {200, "{}"};
}

// The same request gets the same answer.
net::Reply WorkerSimulator::provision(const wire::Json& request) {
    auto& names = provisioned_[std::string(request.at("Hire").as_string())];
    const bool again = !names.empty();
    for (auto left = request.at("Count").to_number<int>();
         !again && left > 0 && machines.size() < cloud_capacity; --left) {
        const auto id = "m-" + std::to_string(++last_machine_);
        add_machine(id, std::string(request.at("Yard").as_string()),
                    std::string(request.at("Breed").as_string()), request.at("Loaners").as_bool());
        names.emplace_back(id);
    }
    if (names.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, json::serialize(json::object{{"Hosts", names}})};
}

}  // namespace pineroad::test
