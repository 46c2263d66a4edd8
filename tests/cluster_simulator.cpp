#include "cluster_simulator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <utility>

namespace pineroad::test {

namespace json = boost::json;
using net::Reply;

namespace {

constexpr double begin_s = 1000;       // the simulated clock when a test begins
constexpr double step_s = 0.005;       // of simulated time
constexpr double latency_s = 0.005;    // of the store
constexpr double forever_s = 1000000;  // of a request that is never answered

}  // namespace

// --- links -------------------------------------------------------------------------------------------------

// A controller's connection to somebody else. That of a process that has ended leads nowhere.
class Link : public net::Client {
   public:
    Link(ClusterSimulator& cluster, std::shared_ptr<bool> alive, int from, config::Endpoint to)
        : cluster_(cluster), alive_(std::move(alive)), from_(from), to_(std::move(to)) {}
    net::awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                                 double timeout_s) override {
        if (!*alive_) co_await net::sleep_for(forever_s);
        std::optional<Reply> out;
        if (to_.host == "state")
            out = co_await cluster_.to_store(from_, method, target, body, timeout_s);
        else if (to_.host == "peer")
            out = co_await cluster_.to_peer(from_, to_.port, method, target, body, timeout_s);
        else if (to_.host == "cloud" && target == wire::machine_types_path)
            out = Reply{200, json::serialize(wire::machine_types_json(machine_types()))};
        else if (to_.host == "cloud")
            out = cluster_.workers.answer_cloud_request(method, target, body);
        else if (!(out = cluster_.workers.direct_command(from_, to_.host, body)))
            co_await net::sleep_for(timeout_s);
        if (!*alive_) co_await net::sleep_for(forever_s);
        co_return out;
    }

   private:
    ClusterSimulator& cluster_;
    std::shared_ptr<bool> alive_;
    int from_;
    config::Endpoint to_;
};

// A watch that is open waits as long as this holds.
bool ClusterSimulator::unreachable_store(int from) const {
    return store_outage || rejected_by_store.contains(from) || partitioned_from_store.contains(from);
}

net::awaitable<std::optional<Reply>> ClusterSimulator::to_store(int from, std::string method,
                                                                std::string target, std::string body,
                                                                double timeout_s) {
    ++store_requests[target.substr(1, target.find_first_of("/?", 1) - 1)];
    const double until = now() + timeout_s;
    const bool is_commit = target == wire::commit_path;
    const bool hold = holding_commits.contains(from) && is_commit;
    if (partitioned_from_store.contains(from) || hold) {
        if (hold) held_commits[from].push_back({method, target, body});
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    co_await net::sleep_for(std::min(latency_s + store_delay_s, timeout_s));
    const bool given_up = latency_s + store_delay_s > timeout_s;  // executed all the same
    if (store_outage || rejected_by_store.contains(from)) co_return Reply{503, R"({"error":"trouble"})"};
    if (is_commit && delayed_writes_s > 0) {
        delayed_writes_.push_back({now() + delayed_writes_s, body});
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    if (target.starts_with("/follow")) {
        const double block = now() + std::stod(StoreSimulator::parameter(target, "BlockMs")) / 1000;
        const auto since = std::stoull(StoreSimulator::parameter(target, "Since"));
        while (unreachable_store(from) || (now() < block && !store.changed_since(since))) {
            if (now() >= until) co_return std::nullopt;
            co_await net::sleep_for(2 * step_s);
        }
    }
    auto answer = store.answer(method, target, body, now());
    if (given_up) co_return std::nullopt;
    if (is_commit && lost_commit_answers.contains(from)) {
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    co_return answer;
}

net::awaitable<std::optional<Reply>> ClusterSimulator::to_peer(int from, int to, std::string method,
                                                               std::string target, std::string body,
                                                               double timeout_s) {
    auto& peer = process(to);
    if (partitioned_from_peers.contains(from) || partitioned_from_peers.contains(to) || !peer.controller) {
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    for (const double until = now() + timeout_s; paused.contains(to);) {
        if (now() >= until) co_return std::nullopt;
        co_await net::sleep_for(step_s);
    }
    net::Request request{std::move(method), std::move(target), std::move(body)};
    co_return co_await peer.controller->handle_peer_request(std::move(request));
}

// --- processes ---------------------------------------------------------------------------------------------

ClusterSimulator::ClusterSimulator(const std::string& trace, int controllers, const ClusterOptions& options)
    : trace_(trace), on_upgrade_(options.on_upgrade) {
    spdlog::set_level(spdlog::level::off);
    net::Clock::simulated_now = net::Clock::time_point(net::seconds(begin_s));
    // Loops of a controller never end and refer to it. All are kept until the program ends, unused but still
    // reachable.
    static auto& kept = *new std::vector<std::shared_ptr<Processes>>();
    processes_ = std::make_shared<Processes>();
    kept.push_back(processes_);
    processes_->controllers.resize(static_cast<std::size_t>(controllers));
    for (int i = 0; i < controllers; ++i) configure(i, controllers, options);
    for (int i = 0; i < controllers; ++i) restart(i);
}

void ClusterSimulator::configure(int controller, int controllers, const ClusterOptions& options) {
    auto& own = process(controller);
    own.settings = settings();
    own.settings.name = "c-" + std::to_string(controller);
    own.settings.store_endpoint = {"state", 1};
    own.settings.cloud_endpoint = {"cloud", 1};
    own.settings.public_endpoint = own.settings.peer_endpoint = {"127.0.0.1", 1};
    own.record_format = options.record_format;
    if (options.adjust) options.adjust(own.settings);
    for (int peer = 0; peer < controllers; ++peer) {
        if (peer == controller) continue;
        own.settings.peers.push_back(
            {"c-" + std::to_string(peer), "a", {"peer", static_cast<std::uint16_t>(peer)}});
    }
}

ClusterSimulator::~ClusterSimulator() {
    for (auto& each : processes_->controllers)
        if (each.alive) *each.alive = false;
    net::Clock::simulated_now.reset();
}

void ClusterSimulator::kill(int controller) {
    auto& own = process(controller);
    if (own.alive) *own.alive = false;
    if (own.controller) processes_->ended.push_back(std::move(own.controller));
}

void ClusterSimulator::restart(int controller) {
    kill(controller);
    auto& own = process(controller);
    own.alive = std::make_shared<bool>(true);
    const auto connect = [this, alive = own.alive,
                          controller](const config::Endpoint& to) -> std::unique_ptr<net::Client> {
        return std::make_unique<Link>(*this, alive, controller, to);
    };
    own.controller = std::make_unique<controller::Controller>(*own.io, own.settings, processes_->tuning,
                                                              connect, ++seed_, own.record_format);
    own.controller->run_loops();
}

void ClusterSimulator::upgrade(int controller) {
    auto& own = process(controller);
    own.record_format = wire::records::record_format;
    if (on_upgrade_) on_upgrade_(own.settings);
    note("upgrade of c-" + std::to_string(controller));
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
    const double until = now() + seconds;
    while (now() < until - step_s / 2) step();
}

void ClusterSimulator::step() {
    for (int i = 0; i < controllers(); ++i) {
        if (paused.contains(i)) continue;
        process(i).io->restart();
        process(i).io->poll();
    }
    *net::Clock::simulated_now += net::seconds(step_s);
    if (!store_outage) store.expire(now());
    while (!delayed_writes_.empty() && delayed_writes_.front().at <= now()) {
        store.answer("POST", std::string(wire::commit_path), delayed_writes_.front().body, now());
        delayed_writes_.pop_front();
    }
    workers.step(step_s);
    // A new leader is worth a line whenever it comes.
    if (const auto fencing_token = store.fencing_token(); fencing_token != noted_token_) {
        noted_token_ = fencing_token;
        note("term    " + std::to_string(fencing_token) + " is won by " + store.leader());
    }
}

void ClusterSimulator::run_until_first_task_ends(std::size_t tasks) {
    while (workers.running_tasks() < tasks && now() < begin_s + 30) run(0.05);
    while (workers.running_tasks() == tasks && now() < begin_s + 60) run(0.01);
}

void ClusterSimulator::note(const std::string& line) {
    trace_.note(now() - begin_s, line);
}

// --- requests ----------------------------------------------------------------------------------------------

std::shared_ptr<std::optional<Reply>> ClusterSimulator::send_request(int controller,
                                                                     const std::string& method,
                                                                     const std::string& target,
                                                                     const std::string& body) {
    auto& own = process(controller);
    auto out = std::make_shared<std::optional<Reply>>();
    if (!own.controller) return out;  // nobody answers
    net::Request request{method, target, body};
    net::asio::co_spawn(
        *own.io,
        [](controller::Controller& receiver, net::Request r,
           std::shared_ptr<std::optional<Reply>> into) -> net::awaitable<void> {
            *into = co_await receiver.handle_public_request(std::move(r));
        }(*own.controller, std::move(request), out),
        net::asio::detached);
    return out;
}

std::optional<Reply> ClusterSimulator::request(int controller, const std::string& method,
                                               const std::string& target, const std::string& body) {
    constexpr int most_steps = 1200;
    const auto out = send_request(controller, method, target, body);
    for (int i = 0; i < most_steps && !*out; ++i) run(step_s);
    return *out;
}

std::optional<Reply> ClusterSimulator::submit(int controller, const std::string& id,
                                              const json::object& other) {
    auto body = json::parse(R"({"Jobclass":"small","Crew":"team","Shape":"batch","Urgency":"standard",
        "Pieces":1,"Vcpus":8,"Accelerators":1,"MemGb":32,"Bundle":"img-1","SizeGb":5,"Together":false,
        "Spread":false,"Loaners":true,"GuessS":60,"NotchS":10,"StashS":2})")
                    .as_object();
    body["NameId"] = id;
    for (const auto& field : other) body[field.key()] = field.value();
    workers.invariants.job_submitted(body);
    return record_answer("submits " + id, controller,
                         request(controller, "POST", "/submissions", json::serialize(body)));
}

std::optional<Reply> ClusterSimulator::poll(int controller, const std::string& id) {
    return record_answer("asks about " + id, controller, request(controller, "GET", "/submissions/" + id));
}

std::optional<Reply> ClusterSimulator::cancel(int controller, const std::string& id) {
    return record_answer("cancels " + id, controller,
                         request(controller, "POST", "/submissions/" + id + "/cancel"));
}

std::optional<Reply> ClusterSimulator::record_answer(const std::string& what, int controller,
                                                     std::optional<Reply> reply) {
    std::string line = "user    " + what + " at c-" + std::to_string(controller) + ": ";
    if (!reply) {
        note(line + "no answer");
        return reply;
    }
    line += std::to_string(reply->status);
    if (const auto answer = wire::parse_json(reply->body); answer && answer->as_object().contains("Status")) {
        const std::string status(answer->at("Status").as_string());
        workers.invariants.job_status_confirmed(std::string(answer->at("NameId").as_string()), status, now());
        line += " " + status;
    }
    if (reply->retry_after_s > 0) line += ", with Retry-After";
    if (reply->close) line += ", closes";
    note(line);
    return reply;
}

std::optional<Reply> ClusterSimulator::send_heartbeat(int controller, const model::Heartbeat& report) {
    return request(controller, "POST", "/checkin", heartbeat_body(report));
}

std::string ClusterSimulator::heartbeat_body(const model::Heartbeat& report) {
    json::array tasks;
    for (const auto& task : report.tasks)
        tasks.push_back(json::object{
            {"Piece", name_of(task.task)}, {"Try", task.attempt}, {"Status", name_of(task.state)}});
    return json::serialize(json::object{{"Host", report.machine},
                                        {"Address", "10.0.0.9:1"},
                                        {"Breed", "g4"},
                                        {"Yard", "a"},
                                        {"Loaners", false},
                                        {"Stint", report.agent_epoch},
                                        {"Tick", report.sequence},
                                        {"Baton", report.fencing_token},
                                        {"Pieces", tasks}});
}

}  // namespace pineroad::test
