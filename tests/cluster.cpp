#include "cluster.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <iomanip>

namespace pineroad::test {

namespace json = boost::json;
namespace records = wire::records;
using net::Reply;

namespace {

std::string parameter(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) return {};
    const auto from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

Reply reply(int status, json::object body = {}) {
    return {status, json::serialize(body)};
}

constexpr double step_s = 0.005;       // of simulated time
constexpr double latency_s = 0.005;    // of the state service
constexpr double forever_s = 1000000;  // of a request that is never answered

}  // namespace

// --- the state service -------------------------------------------------------------------------------------

void StateService::drop(const std::string& key) {
    if (rows_.erase(key)) log_.push_back({{"Drop", key}, {"Stamp", revision_}});
}

void StateService::end_lease(std::uint64_t id) {
    if (!leases_.erase(id)) return;
    ++revision_;
    for (auto it = rows_.begin(); it != rows_.end();) {
        const auto at = it++;
        if (at->second.lease == id) drop(std::string(at->first));
    }
}

void StateService::expire(double now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
        const auto at = it++;
        if (at->second.until < now) end_lease(at->first);
    }
}

void StateService::extend_leases(double now) {
    for (auto& [id, l] : leases_) l.until = now + l.ttl;
}

std::size_t StateService::rows_under(std::string_view prefix) const {
    return static_cast<std::size_t>(std::count_if(
        rows_.begin(), rows_.end(), [&](const auto& row) { return row.first.starts_with(prefix); }));
}
std::size_t StateService::live_jobs() const {
    return rows_under(records::job_prefix);
}
void StateService::put(const std::string& key, wire::Json value) {
    rows_[key] = {value, ++revision_, 0};
    log_.push_back({{"Write", key}, {"Value", std::move(value)}, {"Stamp", revision_}});
}
void StateService::put_job(model::JobSpec spec, double now) {
    spec.accepted_ms = static_cast<std::int64_t>(now * 1000);
    put(records::job_key(spec.id), records::job_json(spec));
}
std::string StateService::leader() const {
    const auto it = rows_.find(std::string(records::leader_key));
    return it == rows_.end() ? "" : records::parse_leader(it->second.value)->node;
}
std::uint64_t StateService::fencing_token() const {
    const auto it = rows_.find(std::string(records::term_key));
    return it == rows_.end() ? 0 : *records::parse_term(it->second.value);
}

bool StateService::within_limits(const wire::Json& transaction) const {
    const auto& changes = transaction.at("Apply").as_array();
    return changes.size() <= max_transaction_changes &&
           std::all_of(changes.begin(), changes.end(), [&](const auto& change) {
               const auto* value = change.as_object().if_contains("Value");
               return !value || json::serialize(*value).size() <= value_bytes;
           });
}

Reply StateService::commit(const std::string& body) {
    const auto doc = json::parse(body);
    if (!within_limits(doc)) {
        ++refused_commits;
        return reply(400, {{"error", "a limit is exceeded"}});
    }
    json::array failed;
    for (const auto& w : doc.at("When").as_array()) {
        const std::string key(w.at("Key").as_string());
        const auto it = rows_.find(key);
        if ((it == rows_.end() ? 0 : it->second.mod_revision) != w.at("Stamp").to_number<std::uint64_t>())
            failed.emplace_back(key);
    }
    for (const auto& c : doc.at("Apply").as_array())
        if (const auto* permit = c.as_object().if_contains("Permit");
            permit && !leases_.contains(permit->to_number<std::uint64_t>()))
            return reply(400, {{"error", "no such lease"}});
    if (!failed.empty()) return reply(409, {{"failed", failed}, {"Epoch", revision_}});
    ++revision_;
    for (const auto& c : doc.at("Apply").as_array()) {
        if (const auto* dropped = c.as_object().if_contains("Drop")) {
            drop(std::string(dropped->as_string()));
            continue;
        }
        const std::string key(c.at("Write").as_string());
        const auto* permit = c.as_object().if_contains("Permit");
        rows_[key] = {c.at("Value"), revision_, permit ? permit->to_number<std::uint64_t>() : 0};
        log_.push_back({{"Write", key}, {"Value", c.at("Value")}, {"Stamp", revision_}});
    }
    return reply(200, {{"Epoch", revision_}});
}

Reply StateService::answer(const std::string& method, const std::string& target, const std::string& body,
                           double now) {
    if (target == "/commit") return commit(body);
    if (target == "/leases") {
        const double ttl = json::parse(body).at("TtlMs").to_number<double>() / 1000;
        leases_[next_lease_] = {now + ttl, ttl};
        return reply(200, {{"Permit", next_lease_++}});
    }
    if (target.starts_with("/leases/")) {
        const auto id = std::stoull(target.substr(8));
        const auto it = leases_.find(id);
        if (it == leases_.end()) return reply(404);
        if (method == "DELETE")
            end_lease(id);
        else
            it->second.until = now + it->second.ttl;
        return reply(200);
    }
    if (target.starts_with("/follow")) {
        const auto since = std::stoull(parameter(target, "Since"));
        json::array events;
        for (const auto& e : log_)
            if (e.at("Stamp").to_number<std::uint64_t>() > since) events.push_back(e);
        return reply(200, {{"Epoch", revision_}, {"Events", events}});
    }
    if (target.starts_with("/store?")) {
        const auto under = parameter(target, "Under"), since = parameter(target, "Since");
        json::array rows;
        for (const auto& [key, row] : rows_)
            if (key.starts_with(under) && key > since)
                rows.push_back(json::object{{"Key", key}, {"Value", row.value}, {"Stamp", row.mod_revision}});
        return reply(200, {{"Rows", rows}, {"Truncated", false}, {"Epoch", revision_}});
    }
    const auto key = target.substr(std::string("/store/").size());
    const auto it = rows_.find(key);
    if (it == rows_.end()) return reply(404, {{"Epoch", revision_}});
    return reply(200, {{"Key", key}, {"Value", it->second.value}, {"Stamp", it->second.mod_revision}});
}

// --- links -------------------------------------------------------------------------------------------------

// A node's way to somebody else. That of a process that has ended leads nowhere.
class Link : public net::Client {
   public:
    Link(Cluster& cluster, std::shared_ptr<bool> alive, int from, config::Endpoint to)
        : cluster_(cluster), alive_(std::move(alive)), from_(from), to_(std::move(to)) {}
    net::awaitable<std::optional<Reply>> request(std::string method, std::string target, std::string body,
                                                 double timeout_s) override {
        if (!*alive_) co_await net::sleep_for(forever_s);
        std::optional<Reply> out;
        if (to_.host == "state")
            out = co_await cluster_.to_state(from_, method, target, body, timeout_s);
        else if (to_.host == "peer")
            out = co_await cluster_.to_peer(from_, to_.port, method, target, body, timeout_s);
        else if (to_.host == "cloud" && target == wire::machine_types_path)
            out = Reply{200, json::serialize(wire::machine_types_json(machine_types()))};
        else if (to_.host == "cloud")
            out = cluster_.fleet.cloud(method, target, body);
        else if (!(out = cluster_.fleet.command(from_, to_.host, body)))
            co_await net::sleep_for(timeout_s);
        if (!*alive_) co_await net::sleep_for(forever_s);
        co_return out;
    }

   private:
    Cluster& cluster_;
    std::shared_ptr<bool> alive_;
    int from_;
    config::Endpoint to_;
};

net::awaitable<std::optional<Reply>> Cluster::to_state(int from, std::string method, std::string target,
                                                       std::string body, double timeout_s) {
    ++requests[target.substr(1, target.find_first_of("/?", 1) - 1)];
    const double until = now() + timeout_s;
    const bool hold = holding.contains(from) && target == wire::commit_path;
    if (cut_from_state.contains(from) || hold) {
        if (hold) held[from].push_back({method, target, body});
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    co_await net::sleep_for(std::min(latency_s + state_slow_s, timeout_s));
    const bool given_up = latency_s + state_slow_s > timeout_s;  // executed all the same
    if (state_out || refused.contains(from)) co_return Reply{503, R"({"error":"trouble"})"};
    if (target == wire::commit_path && late_writes_s > 0) {
        late_writes_.push_back({now() + late_writes_s, body});
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    if (target.starts_with("/follow")) {
        const double block = now() + std::stod(parameter(target, "BlockMs")) / 1000;
        const auto since = std::stoull(parameter(target, "Since"));
        while (state_out || refused.contains(from) || cut_from_state.contains(from) ||
               (now() < block && !state.changed_since(since))) {
            if (now() >= until) co_return std::nullopt;
            co_await net::sleep_for(2 * step_s);
        }
    }
    auto answer = state.answer(method, target, body, now());
    if (given_up) co_return std::nullopt;
    if (target == wire::commit_path && lost_commit_answers.contains(from)) {
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    co_return answer;
}

net::awaitable<std::optional<Reply>> Cluster::to_peer(int from, int to, std::string method,
                                                      std::string target, std::string body,
                                                      double timeout_s) {
    auto& node = inner_->nodes.at(static_cast<std::size_t>(to));
    if (cut_from_peers.contains(from) || cut_from_peers.contains(to) || !node.process) {
        co_await net::sleep_for(timeout_s);
        co_return std::nullopt;
    }
    for (const double until = now() + timeout_s; frozen.contains(to);) {
        if (now() >= until) co_return std::nullopt;
        co_await net::sleep_for(step_s);
    }
    net::Request request{std::move(method), std::move(target), std::move(body)};
    co_return co_await node.process->mesh(std::move(request));
}

// --- the cluster -------------------------------------------------------------------------------------------

Cluster::Cluster(std::string name, int nodes, const ClusterOptions& options)
    : on_upgrade_(options.on_upgrade), name_(std::move(name)) {
    spdlog::set_level(spdlog::level::off);
    net::Clock::simulated = net::Clock::time_point(net::seconds(1000));
    // Loops of a node never end and refer to it. They are let go of together, unused but still reachable.
    static auto& graveyard = *new std::vector<std::shared_ptr<Inner>>();
    graveyard.push_back(inner_ = std::make_shared<Inner>());
    inner_->nodes.resize(static_cast<std::size_t>(nodes));
    for (int i = 0; i < nodes; ++i) {
        auto& n = inner_->nodes[static_cast<std::size_t>(i)];
        n.settings = settings();
        n.settings.name = "c-" + std::to_string(i);
        n.settings.store_endpoint = {"state", 1}, n.settings.cloud_endpoint = {"cloud", 1};
        n.settings.public_endpoint = n.settings.peer_endpoint = {"127.0.0.1", 1};
        n.record_format = options.record_format;
        if (options.adjust) options.adjust(n.settings);
        for (int p = 0; p < nodes; ++p)
            if (p != i)
                n.settings.peers.push_back(
                    {"c-" + std::to_string(p), "a", {"peer", static_cast<std::uint16_t>(p)}});
    }
    for (int i = 0; i < nodes; ++i) restart(i);
}

Cluster::~Cluster() {
    for (auto& n : inner_->nodes)
        if (n.alive) *n.alive = false;
    net::Clock::simulated.reset();
    keep_trace(name_, trace_.str());
}

void Cluster::end(int node) {
    auto& n = inner_->nodes.at(static_cast<std::size_t>(node));
    if (n.alive) *n.alive = false;
    if (n.process) inner_->ended.push_back(std::move(n.process));
}

void Cluster::restart(int node) {
    end(node);
    auto& n = inner_->nodes.at(static_cast<std::size_t>(node));
    n.alive = std::make_shared<bool>(true);
    const auto connect = [this, alive = n.alive,
                          node](const config::Endpoint& to) -> std::unique_ptr<net::Client> {
        return std::make_unique<Link>(*this, alive, node, to);
    };
    n.process = std::make_unique<controller::Controller>(*n.io, n.settings, inner_->tuning, connect, ++seed_,
                                                         n.record_format);
    n.process->run_loops();
}

void Cluster::upgrade(int node) {
    auto& process = inner_->nodes.at(static_cast<std::size_t>(node));
    process.record_format = wire::records::format;
    if (on_upgrade_) on_upgrade_(process.settings);
    note("upgrade of c-" + std::to_string(node));
    restart(node);
}

int Cluster::leader() const {
    const auto name = state.leader();
    return name.empty() ? -1 : name.back() - '0';
}

double Cluster::now() const {
    return std::chrono::duration<double>(net::Clock::now().time_since_epoch()).count();
}

void Cluster::run(double s) {
    const double until = now() + s;
    while (now() < until - step_s / 2) {
        for (std::size_t i = 0; i < inner_->nodes.size(); ++i) {
            if (frozen.contains(static_cast<int>(i))) continue;
            inner_->nodes[i].io->restart();
            inner_->nodes[i].io->poll();
        }
        *net::Clock::simulated += net::seconds(step_s);
        if (!state_out) state.expire(now());
        while (!late_writes_.empty() && late_writes_.front().at <= now()) {
            state.answer("POST", std::string(wire::commit_path), late_writes_.front().body, now());
            late_writes_.pop_front();
        }
        fleet.step(step_s);
        // A new leader is worth a line whenever it comes.
        if (const auto fencing_token = state.fencing_token(); fencing_token != noted_token_) {
            noted_token_ = fencing_token;
            note("term    " + std::to_string(fencing_token) + " is won by " + state.leader());
        }
    }
}

void Cluster::run_to_first_end(std::size_t tasks) {
    while (fleet.running() < tasks && now() < 1030) run(0.05);
    while (fleet.running() == tasks && now() < 1060) run(0.01);
}

void Cluster::note(const std::string& line) {
    trace_ << std::fixed << std::setprecision(1) << std::setw(7) << now() - 1000 << "  " << line << "\n";
}

std::shared_ptr<std::optional<Reply>> Cluster::send(int node, const std::string& method,
                                                    const std::string& target, const std::string& body) {
    auto& n = inner_->nodes.at(static_cast<std::size_t>(node));
    auto out = std::make_shared<std::optional<Reply>>();
    if (!n.process) return out;  // nobody answers
    net::Request request{method, target, body};
    net::asio::co_spawn(
        *n.io,
        [](controller::Controller& process, net::Request r,
           std::shared_ptr<std::optional<Reply>> into) -> net::awaitable<void> {
            *into = co_await process.front(std::move(r));
        }(*n.process, std::move(request), out),
        net::asio::detached);
    return out;
}

std::optional<Reply> Cluster::ask(int node, const std::string& method, const std::string& target,
                                  const std::string& body) {
    const auto out = send(node, method, target, body);
    for (int i = 0; i < 1200 && !*out; ++i) run(step_s);
    return *out;
}

std::optional<Reply> Cluster::submit(int node, const std::string& id, const json::object& other) {
    auto body = json::parse(R"({"Jobclass":"small","Crew":"team","Shape":"batch","Urgency":"standard",
        "Pieces":1,"Vcpus":8,"Accelerators":1,"MemGb":32,"Bundle":"img-1","SizeGb":5,"Together":false,
        "Spread":false,"Loaners":true,"GuessS":60,"NotchS":10,"StashS":2})")
                    .as_object();
    body["NameId"] = id;
    for (const auto& field : other) body[field.key()] = field.value();
    fleet.submitted(body);
    return tell("submits " + id, node, ask(node, "POST", "/submissions", json::serialize(body)));
}
std::optional<Reply> Cluster::poll(int node, const std::string& id) {
    return tell("asks about " + id, node, ask(node, "GET", "/submissions/" + id));
}
std::optional<Reply> Cluster::cancel(int node, const std::string& id) {
    return tell("cancels " + id, node, ask(node, "POST", "/submissions/" + id + "/cancel"));
}

std::optional<Reply> Cluster::tell(const std::string& what, int node, std::optional<Reply> r) {
    std::string line = "user    " + what + " at c-" + std::to_string(node) + ": ";
    if (!r)
        line += "no answer";
    else if (const auto doc = wire::parse_json(r->body); doc && doc->as_object().contains("Status")) {
        const std::string status(doc->at("Status").as_string());
        fleet.told(std::string(doc->at("NameId").as_string()), status);
        line += std::to_string(r->status) + " " + status;
    } else
        line += std::to_string(r->status);
    if (r && r->retry_after_s > 0) line += ", with Retry-After";
    if (r && r->close) line += ", closes";
    note(line);
    return r;
}

std::optional<Reply> Cluster::report(int node, const model::Heartbeat& r) {
    return ask(node, "POST", "/checkin", body_of(r));
}

std::string Cluster::body_of(const model::Heartbeat& r) {
    json::array tasks;
    for (const auto& t : r.tasks) {
        static const char* names[] = {"fetching", "waiting", "running", "saving", "ended"};
        tasks.push_back(json::object{{"Piece", t.task.job + "/" + std::to_string(t.task.index)},
                                     {"Try", t.attempt},
                                     {"Status", names[static_cast<int>(t.state)]}});
    }
    return json::serialize(json::object{{"Host", r.machine},
                                        {"Address", "10.0.0.9:1"},
                                        {"Breed", "g4"},
                                        {"Yard", "a"},
                                        {"Loaners", false},
                                        {"Stint", r.agent_epoch},
                                        {"Tick", r.sequence},
                                        {"Baton", r.fencing_token},
                                        {"Pieces", tasks}});
}

}  // namespace pineroad::test
