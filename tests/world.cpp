#include "world.hpp"

#include <spdlog/spdlog.h>

#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>

#include "scheduling/eligibility.hpp"

namespace pineroad::test {

namespace records = wire::records;
using model::Command;
using model::ExitCause;
using model::TaskState;

config::Settings settings() {
    config::Settings s;
    s.name = "c-0", s.zone = "a";
    s.zones = {"a", "b"};
    s.teams = {{"team", 0, 0, 0, 0}, {"owed", 64, 0, 8, 0}, {"capped", 0, 16, 0, 2}};
    s.heartbeat_period_s = 3, s.worker_lease_s = 36, s.gang_start_timeout_s = 35,
    s.gang_failure_detection_s = 4, s.cancellation_timeout_s = 66;
    s.value_kb = 8, s.max_transaction_changes = 12, s.store_writes_per_s = 20;
    return s;
}

std::vector<model::MachineType> machine_types() {
    return {{"g4", {32, 4, 256}, 100, 0.5, 12, 4, 45, {"a", "b"}},
            {"g2", {16, 2, 128}, 100, 0.5, 7, 2, 45, {"a", "b"}}};
}

model::JobSpec array_job(const std::string& id, std::uint32_t tasks) {
    model::JobSpec s;
    s.id = id, s.job_class = "small", s.team = "team", s.image = "img-1";
    s.shape = model::Shape::array;
    s.priority = model::Priority::low;
    s.task_count = tasks;
    s.task_resources = {8, 1, 32};
    s.image_gb = 5;
    s.allows_spot = false;
    s.estimate_s = 60, s.checkpoint_interval_s = 10, s.checkpoint_save_s = 2;
    return s;
}

model::JobSpec gang_job(const std::string& id, std::uint32_t tasks) {
    auto s = array_job(id, tasks);
    s.job_class = "wide";
    s.shape = model::Shape::gang;
    s.priority = model::Priority::normal;
    s.task_resources = {28, 4, 200};
    return s;
}

std::optional<std::uint64_t> StateStandIn::commit(const wire::Transaction& txn) {
    for (const auto& w : txn.conditions) {
        const auto it = rows.find(w.key);
        if ((it == rows.end() ? 0 : it->second.mod_revision) != w.mod_revision) return std::nullopt;
    }
    ++revision;
    for (const auto& c : txn.changes) {
        if (c.value)
            rows[c.key] = {*c.value, revision};
        else
            rows.erase(c.key);
    }
    return revision;
}

void StateStandIn::put(const std::string& key, wire::Json value) {
    rows[key] = {std::move(value), ++revision};
}

std::string text(const Command& o) {
    const std::string task =
        o.task.job + "/" + std::to_string(o.task.index) + "#" + std::to_string(o.attempt);
    if (o.kind == Command::Kind::start) return "start " + task;
    if (o.kind == Command::Kind::forget) return "reap " + task;
    std::ostringstream out;
    out << "stop " << task << " grace " << o.grace_s;
    return out.str();
}

World::World(std::string name) : name_(std::move(name)) {
    spdlog::set_level(spdlog::level::off);
}

World::~World() {
    keep_trace(name_, trace_.str());
}

void keep_trace(const std::string& name, const std::string& trace) {
    // The kept trace is what people read; PINEROAD_KEEP_TRACES=1 writes it anew after a change that was
    // meant.
    const std::string path = std::string(PINEROAD_TRACES) + "/" + name + ".trace";
    if (std::getenv("PINEROAD_KEEP_TRACES")) {
        std::ofstream(path) << trace;
        return;
    }
    std::ifstream in(path);
    std::ostringstream kept;
    kept << in.rdbuf();
    EXPECT_EQ(kept.str(), trace) << "trace of " << name << " differs from the kept one";
}

void World::note(const std::string& line) {
    trace_ << std::fixed << std::setprecision(1) << std::setw(7) << now - 1000 << "  " << line << "\n";
}

void World::submit(model::JobSpec spec) {
    spec.accepted_ms = wall_ms();
    wire::Transaction txn;
    txn.conditions = {{records::job_key(spec.id), 0}, {records::outcome_key(spec.id), 0}};
    txn.changes = {{records::job_key(spec.id), records::job_json(spec), std::nullopt}};
    const auto revision = state.commit(txn);
    note("user    submits " + spec.id + ": " + std::to_string(spec.task_count) + " tasks" +
         (revision ? "" : ", known already"));
    specs[spec.id] = spec;
    if (!revision || !cluster_state_) return;
    add_silently(spec);
    if (watch_cache_->dependencies().is_cancelled(spec.id))
        cluster_state_->job_cancelled_by_dependency(spec.id, now);
}

void World::add_silently(const model::JobSpec& spec) {
    watch_cache_->apply_row(records::job_key(spec.id), records::job_json(spec), state.revision, now);
    cluster_state_->job_added(spec, state.revision, now);
}

// What the leader's node hears of a job's end.
void World::ended(const std::string& id, const model::JobOutcome& ending) {
    watch_cache_->apply_drop(records::job_key(id));
    watch_cache_->record_outcome(id, ending, state.revision);
}

bool World::cancel(const std::string& id, bool leader_hears) {
    wire::Transaction txn;
    const auto row = state.rows.find(records::job_key(id));
    if (row == state.rows.end()) return false;
    txn.conditions = {{records::job_key(id), row->second.mod_revision}, {records::outcome_key(id), 0}};
    txn.changes = {{records::job_key(id), std::nullopt, std::nullopt},
                   {records::outcome_key(id),
                    records::outcome_json({model::FinalStatus::cancelled, wall_ms()}), std::nullopt}};
    const bool ok = state.commit(txn).has_value();
    note("user    cancels " + id + (ok ? ": withdrawn" : ": too late"));
    if (ok) cancelled_at[id] = now;
    if (ok && leader_hears && cluster_state_) {
        cluster_state_->job_cancelled(id, now);
        ended(id, {model::FinalStatus::cancelled, wall_ms()});
    }
    return ok;
}

std::string World::status(const std::string& id) const {
    if (const auto f = state.rows.find(records::outcome_key(id)); f != state.rows.end())
        return records::parse_outcome(f->second.value)->status == model::FinalStatus::done ? "done"
                                                                                           : "withdrawn";
    return state.rows.contains(records::job_key(id)) ? "accepted" : "unknown";
}

void World::lead() {
    ++fencing_token_;
    state.put(std::string(records::leader_key),
              records::leader_json({"c-0", fencing_token_, fencing_token_, fencing_token_}));
    cluster_state_ = std::make_unique<cluster::ClusterState>(
        config, tuning, fencing_token_, state.rows.at(std::string(records::leader_key)).mod_revision, now);
    cluster_state_->set_machine_types(machine_types());
    watch_cache_ = std::make_unique<store::WatchCache>();
    for (const auto& [key, row] : state.rows) watch_cache_->apply_row(key, row.value, row.mod_revision, now);
    watch_cache_->on_dependencies = [this](const model::DependencyGraph::Change& change) {
        for (const auto& id : change.cancelled) cluster_state_->job_cancelled_by_dependency(id, now);
    };
    cluster_state_->load(*watch_cache_, now, wall_ms());
    if (sharding_allowed) cluster_state_->allow_sharding();
    note("term    " + std::to_string(fencing_token_) + " begins");
}

void World::plan() {
    cluster_state_->detect_failures(now);
    cluster_state_->plan(now, wall_ms(), {});
}

std::optional<cluster::WriteBatch> World::take_write_batch(std::size_t ops) {
    return cluster_state_->next_write_batch(ops);
}

bool World::apply(const cluster::WriteBatch& batch) {
    std::string keys;
    for (const auto& c : batch.txn.changes) keys += (c.value ? " +" : " -") + c.key.substr(3);
    const auto revision = state.commit(batch.txn);
    note("commit " + keys + (revision ? "" : ": refused"));
    for (const auto& c : batch.txn.changes)
        if (c.value) {
            EXPECT_LE(boost::json::serialize(*c.value).size(), config.value_kb * 1024);
        }
    EXPECT_LE(batch.txn.changes.size(), static_cast<std::size_t>(config.max_transaction_changes));
    EXPECT_LE(batch.txn.conditions.size(), 4 * static_cast<std::size_t>(config.max_transaction_changes));
    if (!revision) return false;
    cluster_state_->apply_commit(batch, *revision, now, wall_ms());
    for (const auto& end : batch.finished_jobs) ended(end.job, end.outcome);
    return true;
}

bool World::commit() {
    for (int i = 0; i < 50; ++i) {
        const auto batch = take_write_batch();
        if (!batch) return true;
        if (!apply(*batch)) return false;
    }
    return true;
}

void World::decide(const std::string& machine) {
    plan();
    commit();
    if (!machine.empty()) handle_heartbeat(machine);
}

World::Worker& World::worker(const std::string& id, const std::string& type, const std::string& zone,
                             bool spot) {
    auto& w = workers[id];
    w.id = id, w.type = type, w.zone = zone, w.spot = spot;
    return w;
}

model::Heartbeat World::report(Worker& w) {
    model::Heartbeat r;
    r.machine = w.id, r.address = "10.0.0.9:1", r.type = w.type, r.zone = w.zone, r.spot = w.spot;
    r.agent_epoch = w.agent_epoch, r.sequence = ++w.sequence, r.fencing_token = w.fencing_token,
    r.interruption_notice_s = w.interruption_notice_s;
    r.tasks = w.tasks;
    return r;
}

std::vector<Command> World::handle_heartbeat(const std::string& id, bool lost_answer) {
    Worker& w = workers.at(id);
    const bool fresh = cluster_state_->apply_heartbeat(report(w), now);
    const auto commands = fresh ? cluster_state_->commands_for(id, true, now) : std::vector<Command>{};
    std::string line =
        "report  " + id + " (" + std::to_string(w.agent_epoch) + "," + std::to_string(w.sequence) + ")";
    for (const auto& t : w.tasks) {
        static const char* names[] = {"fetching", "waiting", "running", "saving", "ended"};
        line += " " + t.task.job + "/" + std::to_string(t.task.index) + "#" + std::to_string(t.attempt) +
                ":" + names[static_cast<int>(t.state)];
    }
    note(line + (fresh ? "" : " is stale"));
    for (const auto& o : commands) note("answer  " + id + ": " + text(o) + (lost_answer ? " (lost)" : ""));
    if (!lost_answer) execute(w, commands, cluster_state_->fencing_token());
    return commands;
}

void World::execute(Worker& w, const std::vector<Command>& commands, std::uint64_t fencing_token) {
    if (fencing_token < w.fencing_token) return;
    w.fencing_token = fencing_token;
    for (const auto& o : commands) {
        const auto at = std::find_if(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
            return t.task == o.task && t.attempt == o.attempt;
        });
        if (o.kind == Command::Kind::start) {
            if (at != w.tasks.end()) continue;
            judge_start(w, o.task);
            w.tasks.push_back({o.task, o.attempt, TaskState::fetching, ExitCause::none, false});
        } else if (at == w.tasks.end()) {
            continue;
        } else if (o.kind == Command::Kind::forget) {
            if (at->state == TaskState::exited) w.tasks.erase(at);
        } else if (at->state != TaskState::exited) {
            const auto& spec = specs.at(o.task.job);
            const bool saves = at->state == TaskState::running && spec.checkpoint_interval_s > 0 &&
                               o.grace_s >= spec.checkpoint_save_s;
            if (saves)
                at->state = TaskState::checkpointing;
            else
                *at = {at->task, at->attempt, TaskState::exited, ExitCause::stopped, false};
        }
    }
}

// The protocol's rules, judged by what the stand-ins know and the controllers can't see.
void World::judge_start(const Worker& w, const model::TaskId& task) {
    ++starts;
    const auto& spec = specs.at(task.job);
    double cpus = spec.task_resources.cpus, gpus = spec.task_resources.gpus;
    std::map<std::string, std::uint32_t> zones{{w.zone, 1}};
    for (const auto& [id, other] : workers)
        for (const auto& t : other.tasks) {
            if (t.state == TaskState::exited) continue;
            EXPECT_FALSE(t.task == task && id != w.id)
                << "ran_twice: " << task.job << "/" << task.index << " on " << id << " and " << w.id;
            const auto& s = specs.at(t.task.job);
            if (s.team == spec.team) cpus += s.task_resources.cpus, gpus += s.task_resources.gpus;
            if (t.task.job == task.job) ++zones[other.zone];
        }
    for (const auto& team : config.teams)
        if (team.name == spec.team) {
            EXPECT_TRUE(team.cpus_max <= 0 || cpus <= team.cpus_max) << "quota: " << spec.team;
            EXPECT_TRUE(team.gpus_max <= 0 || gpus <= team.gpus_max) << "quota: " << spec.team;
        }
    EXPECT_TRUE(scheduling::allowed_on(spec, w.type, w.zone, w.spot))
        << "wrong_place: " << task.job << " on " << w.id;
    EXPECT_TRUE(!spec.same_zone || zones.size() == 1) << "wrong_place: " << task.job << " in two zones";
    for (const auto& [zone, n] : zones)
        EXPECT_TRUE(!spec.spread || n <= (spec.task_count + 1) / 2)
            << "wrong_place: too many of " << task.job << " in " << zone;
    const auto c = cancelled_at.find(task.job);
    EXPECT_TRUE(c == cancelled_at.end() || now <= c->second + config.cancellation_timeout_s)
        << "ran_cancelled: " << task.job;
}

void World::direct() {
    for (const auto& d : cluster_state_->take_direct_commands()) {
        auto& w = workers.at(d.machine);
        for (const auto& o : d.commands) note("/do     " + d.machine + ": " + text(o));
        if (!w.hung && d.agent_epoch == w.agent_epoch)
            execute(w, d.commands, cluster_state_->fencing_token());
    }
}

void World::set(const std::string& name, TaskState st, ExitCause cause, bool saved) {
    for (auto& [id, w] : workers)
        for (auto& t : w.tasks)
            if (t.task.job + "/" + std::to_string(t.task.index) == name && t.state != TaskState::exited)
                t.state = st, t.cause = cause, t.saved = saved;
}

void World::lose_session(const std::string& id) {
    auto& w = workers.at(id);
    w.tasks.clear();
    ++w.agent_epoch;
    note("worker  " + id + ": its lease ran out, session " + std::to_string(w.agent_epoch));
}

void World::meet(const std::string& id) {
    handle_heartbeat(id);
    pass(0.5);
    handle_heartbeat(id);
}

std::vector<model::ProvisioningRequest> World::rent() {
    std::vector<model::ProvisioningRequest> out;
    while (const auto r = cluster_state_->next_provisioning_request()) {
        auto& names = provisioned_[r->name];
        const bool again = !names.empty();
        while (names.size() < r->count) names.push_back("m-" + std::to_string(++machines_));
        std::string line = "cloud   " + r->name + ": " + std::to_string(r->count) + " " + r->type + " in " +
                           r->zone + (r->spot ? ", spot" : "") + (again ? ", as before:" : ":");
        for (const auto& n : names) {
            line += " " + n;
            if (!workers.contains(n)) worker(n, r->type, r->zone, r->spot);
        }
        note(line);
        cluster_state_->machines_provisioned(r->name, names, now);
        out.push_back(*r);
    }
    return out;
}

void World::release() {
    const auto ids = cluster_state_->machines_to_release(now);
    if (ids.empty()) return;
    std::string line = "cloud   released";
    for (const auto& id : ids) {
        line += " " + id;
        workers.erase(id);
    }
    note(line);
    cluster_state_->machines_released(ids, now);
}

}  // namespace pineroad::test
