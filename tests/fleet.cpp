#include "fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

#include "cluster.hpp"

namespace pineroad::test {

namespace json = boost::json;
using model::ExitCause;
using model::TaskState;

namespace {
constexpr double worker_patience_s = 4, next_node_s = 1, least_gap_s = 0.5;

const char* name_of(TaskState s) {
    static const char* names[] = {"fetching", "waiting", "running", "saving", "ended"};
    return names[static_cast<int>(s)];
}
std::string name_of(const model::TaskId& id) {
    return id.job + "/" + std::to_string(id.index);
}
bool on_machine(const Fleet::Task& t) {
    return t.state == TaskState::running || t.state == TaskState::checkpointing;
}
}  // namespace

void Fleet::add(const std::string& id, const std::string& zone, const std::string& type, bool spot) {
    auto& m = machines[id];
    m.id = id, m.zone = zone, m.type = type, m.spot = spot;
    m.node = static_cast<int>(machines.size()) % cluster_.nodes();
    m.lease_from = m.provisioned_at = cluster_.now();
    m.next_report = cluster_.now() + 0.1 * static_cast<double>(machines.size() % 10);
}

void Fleet::submitted(const json::object& o) {
    Job j;
    j.team = o.at("Crew").as_string();
    if (o.contains("Yard") && o.at("Yard").is_string()) j.zone = o.at("Yard").as_string();
    j.tasks = o.at("Pieces").to_number<std::uint64_t>();
    j.gpus = o.at("Accelerators").to_number<double>();
    if (const auto* list = o.if_contains("WaitsOn"); list && list->is_array())
        for (const auto& id : list->get_array())
            if (id.is_string()) j.dependencies.emplace_back(id.get_string());
    jobs_.emplace(o.at("NameId").as_string(), j);
}

bool Fleet::reaches(const Machine& m, int node) const {
    return cut_zone.empty() || (m.zone == cut_zone) == (node == cut_zone_node);
}

std::optional<double> Fleet::cancelled_before(const std::string& job) const {
    std::optional<double> out;
    std::set<std::string> seen;
    std::vector<std::string> line{job};
    while (!line.empty()) {
        const auto at = jobs_.find(line.back());
        line.pop_back();
        if (at == jobs_.end()) continue;
        for (const auto& before : at->second.dependencies) {
            if (!seen.insert(before).second) continue;
            line.push_back(before);
            if (const auto told = cancelled_told_.find(before); told != cancelled_told_.end())
                out = std::min(out.value_or(told->second), told->second);
        }
    }
    return out;
}

void Fleet::told(const std::string& job, const std::string& status) {
    const auto before = cancelled_before(job);
    EXPECT_FALSE((status == "queued" || status == "running") && before &&
                 cluster_.now() > *before + cancellation_timeout_s)
        << "orphaned: " << job << " " << status;
    if (status == "withdrawn") cancelled_told_.emplace(job, cluster_.now());
    EXPECT_FALSE(status != "withdrawn" && cancelled_told_.contains(job))
        << "went_back: " << job << " " << status;
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) return;
    auto& j = it->second;
    EXPECT_FALSE(status != "done" && j.done_told) << "went_back: " << job << " " << status;
    EXPECT_TRUE(status != "done" || j.done.size() == j.tasks) << "not_done: " << job;
    j.done_told |= status == "done";
}

bool Fleet::runs(const std::string& job) const {
    return std::any_of(machines.begin(), machines.end(), [&](const auto& m) {
        return std::any_of(m.second.tasks.begin(), m.second.tasks.end(),
                           [&](const Task& t) { return t.id.job == job && t.state != TaskState::exited; });
    });
}
Fleet::Machine& Fleet::machine_of(const std::string& job) {
    const auto at = std::find_if(machines.begin(), machines.end(), [&](const auto& m) {
        return std::any_of(m.second.tasks.begin(), m.second.tasks.end(),
                           [&](const Task& t) { return t.id.job == job; });
    });
    if (at == machines.end()) throw std::logic_error("no machine has " + job);
    return at->second;
}
std::size_t Fleet::running() const {
    std::size_t n = 0;
    for (const auto& [id, m] : machines) n += std::count_if(m.tasks.begin(), m.tasks.end(), on_machine);
    return n;
}

void Fleet::step(double dt) {
    const double now = cluster_.now();
    for (auto& [id, m] : machines) {
        if (!m.trouble.hung) {
            for (const auto& [from, body] : std::exchange(m.held_commands, {})) command(from, id, body);
            work(m, dt);
            if (now - m.lease_from > worker_lease_s) {
                killed_by_lease +=
                    static_cast<int>(std::count_if(m.tasks.begin(), m.tasks.end(), on_machine));
                m.tasks.clear();
                ++m.agent_epoch;
                m.lease_from = now;
                m.answer.reset();
                m.sent_at = -1;
            }
            answered(m);
            report(m);
        }
        for (const auto& t : m.tasks) judge(m, t);
    }
    for (auto& l : std::exchange(late_, {})) {
        if (l.at > now || hold_reports)
            late_.push_back(std::move(l));
        else
            cluster_.send(l.node, "POST", "/checkin", l.body);  // nobody waits for the answer
    }
}

void Fleet::judge(const Machine& m, const Task& t) {
    if (!on_machine(t)) return;
    const auto told = cancelled_told_.find(t.id.job);
    const auto name = name_of(t.id);
    if (told != cancelled_told_.end() && cluster_.now() > told->second + cancellation_timeout_s &&
        !std::exchange(complained_[name], true))
        ADD_FAILURE() << "ran_cancelled: " << name << " on " << m.id << " " << cluster_.now() - told->second
                      << " s after its user was told";
}

void Fleet::work(Machine& m, double dt) {
    const double now = cluster_.now();
    for (auto& t : m.tasks) {
        if (t.state == TaskState::fetching && now >= t.fetched_at) {
            t.state = TaskState::running;
            m.changed = true;
            judge_start(m, t);
        } else if (t.state == TaskState::running) {
            t.checkpointed_run_s += dt;
            const auto own = run_s.find(name_of(t.id));
            if (t.checkpointed_run_s < (own == run_s.end() ? default_run_s : own->second)) continue;
            t.state = TaskState::exited, t.cause = ExitCause::done;
            jobs_[t.id.job].done.insert(t.id.index);
            m.changed = true;
        } else if (t.state == TaskState::checkpointing && now >= t.saves_until) {
            t.state = TaskState::exited, t.cause = ExitCause::stopped, t.saved = true;
            m.changed = true;
        }
    }
}

// The protocol's rules for a task that has its image, by what machines hold at this moment.
void Fleet::judge_start(const Machine& m, const Task& t) const {
    const auto& job = jobs_.at(t.id.job);
    for (const auto& before : job.dependencies)
        EXPECT_EQ(jobs_.at(before).done.size(), jobs_.at(before).tasks)
            << "too_early: " << name_of(t.id) << " before " << before;
    EXPECT_TRUE(job.zone.empty() || job.zone == m.zone) << "wrong_place: " << name_of(t.id) << " on " << m.id;
    double gpus = 0;
    for (const auto& [other, o] : machines)
        for (const auto& there : o.tasks) {
            if (!on_machine(there)) continue;
            EXPECT_FALSE(other != m.id && there.id == t.id)
                << "ran_twice: " << name_of(t.id) << " on " << other << " and " << m.id;
            if (jobs_.at(there.id.job).team == job.team) gpus += jobs_.at(there.id.job).gpus;
        }
    EXPECT_TRUE(job.team != "capped" || gpus <= team_gpus_max) << "quota: " << name_of(t.id);
}

std::string Fleet::body_of(const Machine& m) const {
    json::array tasks;
    for (const auto& t : m.tasks) {
        json::object p{{"Piece", name_of(t.id)}, {"Try", t.attempt}, {"Status", name_of(t.state)}};
        if (t.state == TaskState::exited) {
            p["Cause"] = t.cause == ExitCause::done ? "done" : "stopped";
            p["Saved"] = t.saved;
        }
        tasks.push_back(p);
    }
    return json::serialize(json::object{{"Host", m.id},
                                        {"Address", m.id + ":9000"},
                                        {"Breed", m.type},
                                        {"Yard", m.zone},
                                        {"Loaners", m.spot},
                                        {"Stint", m.agent_epoch},
                                        {"Tick", m.sequence},
                                        {"Baton", m.fencing_token},
                                        {"Pieces", tasks}});
}

void Fleet::report(Machine& m) {
    const double now = cluster_.now();
    if (m.sent_at >= 0) return;
    if (now < m.next_report && !(m.changed && now >= m.next_report - heartbeat_period_s + least_gap_s))
        return;
    m.changed = false;
    ++m.sequence;
    m.sent_at = now;
    m.next_report = now + heartbeat_period_s;
    m.answer.reset();
    if (m.trouble.mute || !reaches(m, m.node)) return;
    const auto body = body_of(m);
    if (copy_after_s > 0) late_.push_back({now + copy_after_s, m.node, body});
    if (hold_reports)
        late_.push_back({now, m.node, body});
    else
        m.answer = cluster_.send(m.node, "POST", "/checkin", body);
}

void Fleet::answered(Machine& m) {
    const double now = cluster_.now();
    if (m.sent_at < 0) return;
    const auto next = [&](int node) {
        m.node = node;
        m.next_report = now + next_node_s;
    };
    const bool heard = m.answer && *m.answer && !m.trouble.deaf;
    if (!heard) {
        if (now - m.sent_at < worker_patience_s) return;
        next((m.node + 1) % cluster_.nodes());
    } else if (const auto& r = **m.answer; r.status == 200) {
        const auto doc = json::parse(r.body);
        if (const auto fencing_token = doc.at("Baton").to_number<std::uint64_t>();
            fencing_token >= m.fencing_token) {
            m.changed |= fencing_token > m.fencing_token;
            m.fencing_token = fencing_token;
            m.lease_from = std::max(m.lease_from, m.sent_at);
            execute(m, doc);
        }
    } else {
        next((m.node + 1) % cluster_.nodes());
        if (r.status == 421)
            if (const auto doc = json::parse(r.body); const auto* to = doc.as_object().if_contains("Foreman"))
                if (const int node = to->as_string().back() - '0'; node != m.node) {
                    m.node = node;
                    m.next_report = now;
                }
    }
    m.answer.reset();
    m.sent_at = -1;
}

void Fleet::execute(Machine& m, const wire::Json& doc) {
    const double now = cluster_.now();
    for (const auto& o : doc.at("Orders").as_array()) {
        const std::string index(o.at("Piece").as_string()), verb(o.at("Verb").as_string());
        const auto slash = index.find('/');
        const model::TaskId id{index.substr(0, slash),
                               static_cast<std::uint32_t>(std::stoul(index.substr(slash + 1)))};
        const auto attempt = o.at("Try").to_number<std::uint64_t>();
        const auto at = std::find_if(m.tasks.begin(), m.tasks.end(),
                                     [&](const Task& t) { return t.id == id && t.attempt == attempt; });
        if (verb == "start") {
            if (at != m.tasks.end()) continue;
            ++starts;
            starts_after_told += cancelled_told_.contains(id.job);
            Task t;
            t.id = id, t.attempt = attempt, t.fetched_at = now + fetch_s;
            m.tasks.push_back(std::move(t));
        } else if (at == m.tasks.end()) {
            continue;
        } else if (verb == "reap") {
            if (at->state == TaskState::exited) m.tasks.erase(at);
        } else if (at->state != TaskState::exited) {
            ++stops;
            const double grace = o.as_object().contains("LeewayS") ? o.at("LeewayS").to_number<double>() : 0;
            if (at->state == TaskState::running && grace > 0)
                at->state = TaskState::checkpointing, at->saves_until = now + 2;
            else if (at->state != TaskState::checkpointing || grace <= 0)
                at->state = TaskState::exited, at->cause = ExitCause::stopped;
        }
        m.changed = true;
    }
}

std::optional<net::Reply> Fleet::command(int from, const std::string& id, const std::string& body) {
    const auto it = machines.find(id);
    if (it == machines.end() || it->second.trouble.deaf || !reaches(it->second, from)) return std::nullopt;
    auto& m = it->second;
    if (m.trouble.hung) {
        m.held_commands.emplace_back(from, body);
        return std::nullopt;
    }
    const auto doc = json::parse(body);
    const auto fencing_token = doc.at("Baton").to_number<std::uint64_t>();
    ++m.sequence;
    if (fencing_token < m.fencing_token || doc.at("Stint").to_number<std::uint64_t>() != m.agent_epoch)
        return net::Reply{409, body_of(m)};
    m.fencing_token = fencing_token;
    execute(m, doc);
    return net::Reply{200, body_of(m)};
}

net::Reply Fleet::cloud(const std::string& method, const std::string& target, const std::string& body) {
    if (method == "GET") {
        json::array hosts;
        for (const auto& [id, m] : machines)
            hosts.push_back(json::object{{"NameId", id},
                                         {"Address", id + ":9000"},
                                         {"Breed", m.type},
                                         {"Yard", m.zone},
                                         {"Loaners", m.spot},
                                         {"Status", "running"},
                                         {"HeldS", cluster_.now() - m.provisioned_at}});
        return {200, json::serialize(json::object{{"Hosts", hosts}, {"Truncated", false}})};
    }
    if (target == wire::release_path) {
        const auto doc = json::parse(body);
        for (const auto& id : doc.at("Hosts").as_array()) machines.erase(std::string(id.as_string()));
        return {200, "{}"};
    }
    const auto doc = json::parse(body);
    auto& machines_provisioned = provisioned_[std::string(doc.at("Hire").as_string())];
    const bool again = !machines_provisioned.empty();  // the same request: the same answer
    for (auto n = doc.at("Count").to_number<int>(); !again && n > 0 && machines.size() < capacity; --n) {
        const auto id = "m-" + std::to_string(++last_machine_);
        add(id, std::string(doc.at("Yard").as_string()), std::string(doc.at("Breed").as_string()),
            doc.at("Loaners").as_bool());
        machines_provisioned.emplace_back(id);
    }
    if (machines_provisioned.empty()) return {503, R"({"error":"no capacity"})"};
    return {200, json::serialize(json::object{{"Hosts", machines_provisioned}})};
}

}  // namespace pineroad::test
