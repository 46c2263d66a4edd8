#include "cluster_simulator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <utility>

namespace pineroad::test {

namespace json = boost::json;
using net::Response;

namespace {

constexpr double start_time_s = 1000;         // simulated clock at the start of a test
constexpr double step_s = 0.005;              // resolution of the simulated clock
constexpr double store_latency_s = 0.005;     // without store_delay_s
constexpr double never_answered_s = 1000000;  // longer than any test

}  // namespace

// --- connections -------------------------------------------------------------------------------------------

// A controller's connection to the store, a peer, the cloud or a worker. After its process has ended,
// requests never complete.
class SimulatedClient : public net::Client {
   public:
    SimulatedClient(ClusterSimulator& cluster, std::shared_ptr<bool> alive, int controller,
                    config::Endpoint endpoint)
        : cluster_(cluster),
          alive_(std::move(alive)),
          controller_(controller),
          endpoint_(std::move(endpoint)) {}
    net::awaitable<std::optional<Response>> request(std::string method, std::string target, std::string body,
                                                    double timeout_s) override {
        if (!*alive_) co_await net::sleep_for(never_answered_s);
        std::optional<Response> response;
        if (endpoint_.host == "state")
            response = co_await cluster_.forward_to_store(controller_, method, target, body, timeout_s);
        else if (endpoint_.host == "peer")
            response = co_await cluster_.forward_to_peer(controller_, endpoint_.port, method, target, body,
                                                         timeout_s);
        else if (endpoint_.host == "cloud" && target == wire::machine_types_path)
            response = cluster_.workers.list_machine_types();
        else if (endpoint_.host == "cloud")
            response = cluster_.workers.handle_cloud_request(method, target, body);
        else if (!(response = cluster_.workers.handle_direct_command(controller_, endpoint_.host, body)))
            co_await net::sleep_for(timeout_s);
        if (!*alive_) co_await net::sleep_for(never_answered_s);
        co_return response;
    }

   private:
    ClusterSimulator& cluster_;
    std::shared_ptr<bool> alive_;
    int controller_;
    config::Endpoint endpoint_;
};

// Open watches wait while this returns true.
bool ClusterSimulator::is_store_unreachable(int controller) const {
    return store_outage || rejected_by_store.contains(controller) ||
           partitioned_from_store.contains(controller);
}

net::awaitable<std::optional<Response>> ClusterSimulator::forward_to_store(int controller, std::string method,
                                                                           std::string target,
                                                                           std::string body,
                                                                           double timeout_s) {
    ++store_request_counts[target.substr(1, target.find_first_of("/?", 1) - 1)];
    const double deadline = now() + timeout_s;
    const bool is_commit = target == wire::commit_path;
    const bool is_held = controllers_with_held_commits.contains(controller) && is_commit;
    if (partitioned_from_store.contains(controller) || is_held) {
        if (is_held) held_commits[controller].push_back({method, target, body});
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    co_await net::sleep_for(std::min(store_latency_s + store_delay_s, timeout_s));
    // The store executes the request even if the client has timed out.
    const bool timed_out = store_latency_s + store_delay_s > timeout_s;
    if (store_outage || rejected_by_store.contains(controller))
        co_return Response{503, R"({"error":"trouble"})"};
    if (is_commit && write_delay_s > 0) {
        delayed_writes_.push_back({now() + write_delay_s, body});
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    if (target.starts_with("/follow")) {
        const double watch_until =
            now() + std::stod(StoreSimulator::query_parameter(target, "BlockMs")) / 1000;
        const auto since = std::stoull(StoreSimulator::query_parameter(target, "Since"));
        while (is_store_unreachable(controller) || (now() < watch_until && !store.has_changes_since(since))) {
            if (now() >= deadline) co_return std::nullopt;
            co_await net::sleep_for(2 * step_s);
        }
    }
    auto response = store.handle_request(method, target, body, now());
    if (timed_out) co_return std::nullopt;
    if (is_commit && lost_commit_responses.contains(controller)) {
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    co_return response;
}

net::awaitable<std::optional<Response>> ClusterSimulator::forward_to_peer(
    int sender, int receiver, std::string method, std::string target, std::string body, double timeout_s) {
    auto& peer = process(receiver);
    if (partitioned_from_peers.contains(sender) || partitioned_from_peers.contains(receiver) ||
        !peer.controller) {
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    for (const double deadline = now() + timeout_s; paused.contains(receiver);) {
        if (now() >= deadline) co_return std::nullopt;
        co_await net::sleep_for(step_s);
    }
    net::Request request{std::move(method), std::move(target), std::move(body)};
    co_return co_await peer.controller->handle_peer_request(std::move(request));
}

// --- processes ---------------------------------------------------------------------------------------------

ClusterOptions earlier_version() {
    ClusterOptions options;
    options.record_format = 1;
    options.adjust_settings = [](config::Settings& s) { s.max_value_kb = s.current_max_value_kb = 16; };
    options.adjust_settings_on_upgrade = [](config::Settings& s) {
        s.max_value_kb = 2, s.max_transaction_changes = 4;
    };
    return options;
}

ClusterSimulator::ClusterSimulator(const std::string& trace, int controllers, const ClusterOptions& options)
    : trace_(trace), adjust_settings_on_upgrade_(options.adjust_settings_on_upgrade) {
    spdlog::set_level(spdlog::level::off);
    net::Clock::simulated_now = net::Clock::time_point(net::seconds(start_time_s));
    // The loops of a controller never end and refer to it, so all processes are kept until the program ends.
    // They stay reachable, so the leak checker does not report them.
    static auto& all_processes = *new std::vector<std::shared_ptr<Processes>>();
    processes_ = std::make_shared<Processes>();
    all_processes.push_back(processes_);
    processes_->controllers.resize(static_cast<std::size_t>(controllers));
    for (int i = 0; i < controllers; ++i) configure(i, controllers, options);
    for (int i = 0; i < controllers; ++i) restart(i);
}

void ClusterSimulator::configure(int controller, int controllers, const ClusterOptions& options) {
    auto& simulated_process = process(controller);
    simulated_process.settings = settings();
    simulated_process.settings.name = "c-" + std::to_string(controller);
    simulated_process.settings.store_endpoint = {"state", 1};
    simulated_process.settings.cloud_endpoint = {"cloud", 1};
    simulated_process.settings.public_endpoint = simulated_process.settings.peer_endpoint = {"127.0.0.1", 1};
    simulated_process.record_format = options.record_format;
    if (options.adjust_settings) options.adjust_settings(simulated_process.settings);
    for (int peer = 0; peer < controllers; ++peer) {
        if (peer == controller) continue;
        simulated_process.settings.peers.push_back(
            {"c-" + std::to_string(peer), "a", {"peer", static_cast<std::uint16_t>(peer)}});
    }
}

ClusterSimulator::~ClusterSimulator() {
    for (auto& simulated_process : processes_->controllers)
        if (simulated_process.alive) *simulated_process.alive = false;
    net::Clock::simulated_now.reset();
}

void ClusterSimulator::kill(int controller) {
    auto& simulated_process = process(controller);
    if (simulated_process.alive) *simulated_process.alive = false;
    if (simulated_process.controller)
        processes_->ended_controllers.push_back(std::move(simulated_process.controller));
}

void ClusterSimulator::restart(int controller) {
    kill(controller);
    auto& simulated_process = process(controller);
    simulated_process.alive = std::make_shared<bool>(true);
    const auto client_factory = [this, alive = simulated_process.alive, controller](
                                    const config::Endpoint& endpoint) -> std::unique_ptr<net::Client> {
        return std::make_unique<SimulatedClient>(*this, alive, controller, endpoint);
    };
    simulated_process.controller = std::make_unique<controller::Controller>(
        *simulated_process.io, simulated_process.settings, processes_->tuning, client_factory, ++seed_,
        simulated_process.record_format);
    simulated_process.controller->run_loops();
}

void ClusterSimulator::upgrade(int controller) {
    auto& simulated_process = process(controller);
    simulated_process.record_format = wire::records::record_format;
    if (adjust_settings_on_upgrade_) adjust_settings_on_upgrade_(simulated_process.settings);
    note("upgrade   of c-" + std::to_string(controller));
    restart(controller);
}

int ClusterSimulator::leader() const {
    const auto name = store.leader();
    return name.empty() ? -1 : name.back() - '0';
}

// --- time --------------------------------------------------------------------------------------------------

double ClusterSimulator::now() const {
    return std::chrono::duration<double>(net::Clock::now().time_since_epoch()).count();
}

void ClusterSimulator::run(double seconds) {
    const double deadline = now() + seconds;
    while (now() < deadline - step_s / 2) step();
}

void ClusterSimulator::step() {
    for (int i = 0; i < controllers(); ++i) {
        if (paused.contains(i)) continue;
        process(i).io->restart();
        process(i).io->poll();
    }
    *net::Clock::simulated_now += net::seconds(step_s);
    if (!store_outage) store.expire_leases(now());
    while (!delayed_writes_.empty() && delayed_writes_.front().apply_at <= now()) {
        store.handle_request("POST", std::string(wire::commit_path), delayed_writes_.front().body, now());
        delayed_writes_.pop_front();
    }
    workers.step(step_s);
    // Every new term is noted in the trace.
    if (const auto fencing_token = store.fencing_token(); fencing_token != last_noted_token_) {
        last_noted_token_ = fencing_token;
        note("term      " + std::to_string(fencing_token) + " is won by " + store.leader());
    }
}

void ClusterSimulator::run_until_first_task_ends(std::size_t tasks) {
    while (workers.executing_task_count() < tasks && now() < start_time_s + 30) run(0.05);
    while (workers.executing_task_count() == tasks && now() < start_time_s + 60) run(0.01);
}

void ClusterSimulator::note(const std::string& line) {
    trace_.note(now() - start_time_s, line);
}

// --- requests ----------------------------------------------------------------------------------------------

std::shared_ptr<std::optional<Response>> ClusterSimulator::send_request(int controller,
                                                                        const std::string& method,
                                                                        const std::string& target,
                                                                        const std::string& body) {
    auto& simulated_process = process(controller);
    auto response = std::make_shared<std::optional<Response>>();
    if (!simulated_process.controller) return response;  // the process is not running
    net::Request request{method, target, body};
    net::asio::co_spawn(
        *simulated_process.io,
        [](controller::Controller& receiver, net::Request r,
           std::shared_ptr<std::optional<Response>> result) -> net::awaitable<void> {
            *result = co_await receiver.handle_public_request(std::move(r));
        }(*simulated_process.controller, std::move(request), response),
        net::asio::detached);
    return response;
}

std::optional<Response> ClusterSimulator::request(int controller, const std::string& method,
                                                  const std::string& target, const std::string& body) {
    constexpr int max_steps = 1200;
    const auto response = send_request(controller, method, target, body);
    for (int i = 0; i < max_steps && !*response; ++i) run(step_s);
    return *response;
}

std::optional<Response> ClusterSimulator::submit(int controller, const std::string& id,
                                                 const json::object& overrides) {
    auto body = json::parse(R"({"Jobclass":"small","Crew":"team","Shape":"batch","Urgency":"standard",
        "Pieces":1,"Vcpus":8,"Accelerators":1,"MemGb":32,"Bundle":"img-1","SizeGb":5,"Together":false,
        "Spread":false,"Loaners":true,"GuessS":60,"NotchS":10,"StashS":2})")
                    .as_object();
    body["NameId"] = id;
    for (const auto& field : overrides) body[field.key()] = field.value();
    workers.invariants.record_submission(body);
    return record_response("submits " + id, controller,
                           request(controller, "POST", "/submissions", json::serialize(body)));
}

std::optional<Response> ClusterSimulator::poll(int controller, const std::string& id) {
    return record_response("polls " + id, controller, request(controller, "GET", "/submissions/" + id));
}

std::optional<Response> ClusterSimulator::cancel(int controller, const std::string& id) {
    return record_response("cancels " + id, controller,
                           request(controller, "POST", "/submissions/" + id + "/cancel"));
}

std::optional<Response> ClusterSimulator::record_response(const std::string& what, int controller,
                                                          std::optional<Response> response) {
    std::string line = "user      " + what + " at c-" + std::to_string(controller) + ": ";
    if (!response) {
        note(line + "no response");
        return response;
    }
    line += std::to_string(response->status);
    if (const auto parsed_body = wire::parse_json(response->body);
        parsed_body && parsed_body->as_object().contains("Status")) {
        const std::string status(parsed_body->at("Status").as_string());
        const std::string id(parsed_body->at("NameId").as_string());
        if (response->status == 201)
            workers.invariants.record_acceptance(id, status);
        else
            workers.invariants.record_confirmed_status(id, status, now());
        line += " " + status;
    }
    if (response->retry_after_s > 0) line += ", with Retry-After";
    if (response->close) line += ", closes";
    note(line);
    return response;
}

std::optional<Response> ClusterSimulator::send_heartbeat(int controller, const model::Heartbeat& heartbeat) {
    return request(controller, "POST", "/checkin", heartbeat_body(heartbeat));
}

std::string ClusterSimulator::heartbeat_body(const model::Heartbeat& heartbeat) {
    json::array tasks;
    for (const auto& task : heartbeat.tasks)
        tasks.push_back(json::object{
            {"Piece", name_of(task.task)}, {"Try", task.attempt}, {"Status", name_of(task.state)}});
    return json::serialize(json::object{{"Host", heartbeat.machine},
                                        {"Address", "10.0.0.9:1"},
                                        {"Breed", "g4"},
                                        {"Yard", "a"},
                                        {"Loaners", false},
                                        {"Stint", heartbeat.agent_epoch},
                                        {"Tick", heartbeat.sequence},
                                        {"Baton", heartbeat.fencing_token},
                                        {"Pieces", tasks}});
}

}  // namespace pineroad::test
