#include "world.hpp"

#include <spdlog/spdlog.h>

#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <fstream>
#include <iomanip>

namespace pineroad::test {

namespace records = wire::records;
using model::ExitCause;
using model::Order;
using model::TaskState;

config::Settings settings() {
    config::Settings s;
    s.name = "c-0", s.zone = "a";
    s.zones = {"a", "b"};
    s.teams = {{"team", 0, 0, 0, 0}, {"owed", 64, 0, 8, 0}, {"capped", 0, 16, 0, 2}};
    s.report_s = 3, s.lease_s = 36, s.gang_wait_s = 35, s.gang_peer_s = 4, s.cancel_s = 66;
    s.value_kb = 8, s.txn_ops = 12, s.write_rps = 20;
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
    s.tasks = tasks;
    s.need = {8, 1, 32};
    s.image_gb = 5;
    s.spot_ok = false;
    s.estimate_s = 60, s.checkpoint_s = 10, s.save_s = 2;
    return s;
}

model::JobSpec gang_job(const std::string& id, std::uint32_t tasks) {
    auto s = array_job(id, tasks);
    s.job_class = "wide";
    s.shape = model::Shape::gang;
    s.priority = model::Priority::normal;
    s.need = {28, 4, 200};
    return s;
}

std::optional<std::uint64_t> StateStandIn::commit(const wire::Transaction& txn) {
    for (const auto& w : txn.when) {
        const auto it = rows.find(w.key);
        if ((it == rows.end() ? 0 : it->second.stamp) != w.stamp) return std::nullopt;
    }
    ++epoch;
    for (const auto& c : txn.apply) {
        if (c.value)
            rows[c.key] = {*c.value, epoch};
        else
            rows.erase(c.key);
    }
    return epoch;
}

void StateStandIn::put(const std::string& key, wire::Json value) {
    rows[key] = {std::move(value), ++epoch};
}

std::string text(const Order& o) {
    const std::string task =
        o.task.job + "/" + std::to_string(o.task.index) + "#" + std::to_string(o.attempt);
    if (o.op == Order::Op::start) return "start " + task;
    if (o.op == Order::Op::forget) return "reap " + task;
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
    txn.when = {{records::job_key(spec.id), 0}, {records::final_key(spec.id), 0}};
    txn.apply = {{records::job_key(spec.id), records::job_json(spec), std::nullopt}};
    const auto epoch = state.commit(txn);
    note("user    submits " + spec.id + ": " + std::to_string(spec.tasks) + " tasks" +
         (epoch ? "" : ", known already"));
    specs[spec.id] = spec;
    if (!epoch || !book_) return;
    add_silently(spec);
    if (mirror_->dependencies().is_cancelled(spec.id)) book_->job_withdrawn(spec.id, now);
}

void World::add_silently(const model::JobSpec& spec) {
    mirror_->apply_row(records::job_key(spec.id), records::job_json(spec), state.epoch, now);
    book_->job_added(spec, state.epoch, now);
}

// What the leader's node hears of a job's end.
void World::ended(const std::string& id, const model::Ending& ending) {
    mirror_->apply_drop(records::job_key(id));
    mirror_->learn_final(id, ending, state.epoch);
}

bool World::cancel(const std::string& id, bool leader_hears) {
    wire::Transaction txn;
    const auto row = state.rows.find(records::job_key(id));
    if (row == state.rows.end()) return false;
    txn.when = {{records::job_key(id), row->second.stamp}, {records::final_key(id), 0}};
    txn.apply = {
        {records::job_key(id), std::nullopt, std::nullopt},
        {records::final_key(id), records::final_json({model::Final::cancelled, wall_ms()}), std::nullopt}};
    const bool ok = state.commit(txn).has_value();
    note("user    cancels " + id + (ok ? ": withdrawn" : ": too late"));
    if (ok) cancelled_at[id] = now;
    if (ok && leader_hears && book_) {
        book_->job_cancelled(id, now);
        ended(id, {model::Final::cancelled, wall_ms()});
    }
    return ok;
}

std::string World::status(const std::string& id) const {
    if (const auto f = state.rows.find(records::final_key(id)); f != state.rows.end())
        return records::parse_final(f->second.value)->final == model::Final::done ? "done" : "withdrawn";
    return state.rows.contains(records::job_key(id)) ? "accepted" : "unknown";
}

void World::lead() {
    ++token_;
    state.put(std::string(records::leader_key), records::leader_json({"c-0", token_, token_, token_}));
    book_ = std::make_unique<control::Book>(config, tuning, token_,
                                            state.rows.at(std::string(records::leader_key)).stamp, now);
    book_->set_types(machine_types());
    mirror_ = std::make_unique<control::Mirror>();
    for (const auto& [key, row] : state.rows) mirror_->apply_row(key, row.value, row.stamp, now);
    mirror_->on_dependencies = [this](const model::DependencyGraph::Change& change) {
        for (const auto& id : change.cancelled) book_->job_withdrawn(id, now);
    };
    book_->load(*mirror_, now, wall_ms());
    if (parts_allowed) book_->allow_parts();
    note("term    " + std::to_string(token_) + " begins");
}

void World::plan() {
    book_->tick(now);
    book_->plan(now, wall_ms(), {});
}

std::optional<control::Batch> World::take_batch(std::size_t ops) {
    return book_->next_batch(ops);
}

bool World::apply(const control::Batch& batch) {
    std::string keys;
    for (const auto& c : batch.txn.apply) keys += (c.value ? " +" : " -") + c.key.substr(3);
    const auto epoch = state.commit(batch.txn);
    note("commit " + keys + (epoch ? "" : ": refused"));
    for (const auto& c : batch.txn.apply)
        if (c.value) {
            EXPECT_LE(boost::json::serialize(*c.value).size(), config.value_kb * 1024);
        }
    EXPECT_LE(batch.txn.apply.size(), static_cast<std::size_t>(config.txn_ops));
    EXPECT_LE(batch.txn.when.size(), 4 * static_cast<std::size_t>(config.txn_ops));
    if (!epoch) return false;
    book_->committed(batch, *epoch, now, wall_ms());
    for (const auto& end : batch.finals) ended(end.job, end.ending);
    return true;
}

bool World::commit() {
    for (int i = 0; i < 50; ++i) {
        const auto batch = take_batch();
        if (!batch) return true;
        if (!apply(*batch)) return false;
    }
    return true;
}

void World::decide(const std::string& machine) {
    plan();
    commit();
    if (!machine.empty()) checkin(machine);
}

World::Worker& World::worker(const std::string& id, const std::string& type, const std::string& zone,
                             bool spot) {
    auto& w = workers[id];
    w.id = id, w.type = type, w.zone = zone, w.spot = spot;
    return w;
}

model::Report World::report(Worker& w) {
    model::Report r;
    r.machine = w.id, r.address = "10.0.0.9:1", r.type = w.type, r.zone = w.zone, r.spot = w.spot;
    r.session = w.session, r.tick = ++w.tick, r.token = w.token, r.notice_s = w.notice_s;
    r.tasks = w.tasks;
    return r;
}

std::vector<Order> World::checkin(const std::string& id, bool lost_answer) {
    Worker& w = workers.at(id);
    const bool fresh = book_->absorb(report(w), now);
    const auto orders = fresh ? book_->orders_for(id, true, now) : std::vector<Order>{};
    std::string line =
        "report  " + id + " (" + std::to_string(w.session) + "," + std::to_string(w.tick) + ")";
    for (const auto& t : w.tasks) {
        static const char* names[] = {"fetching", "waiting", "running", "saving", "ended"};
        line += " " + t.task.job + "/" + std::to_string(t.task.index) + "#" + std::to_string(t.attempt) +
                ":" + names[static_cast<int>(t.state)];
    }
    note(line + (fresh ? "" : " is stale"));
    for (const auto& o : orders) note("answer  " + id + ": " + text(o) + (lost_answer ? " (lost)" : ""));
    if (!lost_answer) execute(w, orders, book_->token());
    return orders;
}

void World::execute(Worker& w, const std::vector<Order>& orders, std::uint64_t token) {
    if (token < w.token) return;
    w.token = token;
    for (const auto& o : orders) {
        const auto at = std::find_if(w.tasks.begin(), w.tasks.end(), [&](const auto& t) {
            return t.task == o.task && t.attempt == o.attempt;
        });
        if (o.op == Order::Op::start) {
            if (at != w.tasks.end()) continue;
            judge_start(w, o.task);
            w.tasks.push_back({o.task, o.attempt, TaskState::fetching, ExitCause::none, false});
        } else if (at == w.tasks.end()) {
            continue;
        } else if (o.op == Order::Op::forget) {
            if (at->state == TaskState::exited) w.tasks.erase(at);
        } else if (at->state != TaskState::exited) {
            const auto& spec = specs.at(o.task.job);
            const bool saves =
                at->state == TaskState::running && spec.checkpoint_s > 0 && o.grace_s >= spec.save_s;
            if (saves)
                at->state = TaskState::saving;
            else
                *at = {at->task, at->attempt, TaskState::exited, ExitCause::stopped, false};
        }
    }
}

// The protocol's rules, judged by what the stand-ins know and the controllers can't see.
void World::judge_start(const Worker& w, const model::TaskId& task) {
    ++starts;
    const auto& spec = specs.at(task.job);
    double cpus = spec.need.cpus, gpus = spec.need.gpus;
    std::map<std::string, std::uint32_t> zones{{w.zone, 1}};
    for (const auto& [id, other] : workers)
        for (const auto& t : other.tasks) {
            if (t.state == TaskState::exited) continue;
            EXPECT_FALSE(t.task == task && id != w.id)
                << "ran_twice: " << task.job << "/" << task.index << " on " << id << " and " << w.id;
            const auto& s = specs.at(t.task.job);
            if (s.team == spec.team) cpus += s.need.cpus, gpus += s.need.gpus;
            if (t.task.job == task.job) ++zones[other.zone];
        }
    for (const auto& team : config.teams)
        if (team.name == spec.team) {
            EXPECT_TRUE(team.cpus_max <= 0 || cpus <= team.cpus_max) << "quota: " << spec.team;
            EXPECT_TRUE(team.gpus_max <= 0 || gpus <= team.gpus_max) << "quota: " << spec.team;
        }
    EXPECT_TRUE(sched::allowed_on(spec, w.type, w.zone, w.spot))
        << "wrong_place: " << task.job << " on " << w.id;
    EXPECT_TRUE(!spec.one_zone || zones.size() == 1) << "wrong_place: " << task.job << " in two zones";
    for (const auto& [zone, n] : zones)
        EXPECT_TRUE(!spec.spread || n <= (spec.tasks + 1) / 2)
            << "wrong_place: too many of " << task.job << " in " << zone;
    const auto c = cancelled_at.find(task.job);
    EXPECT_TRUE(c == cancelled_at.end() || now <= c->second + config.cancel_s)
        << "ran_cancelled: " << task.job;
}

void World::direct() {
    for (const auto& d : book_->direct_orders()) {
        auto& w = workers.at(d.machine);
        for (const auto& o : d.orders) note("/do     " + d.machine + ": " + text(o));
        if (!w.hung && d.session == w.session) execute(w, d.orders, book_->token());
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
    ++w.session;
    note("worker  " + id + ": its lease ran out, session " + std::to_string(w.session));
}

void World::meet(const std::string& id) {
    checkin(id);
    pass(0.5);
    checkin(id);
}

void World::add_ready_workers(const std::vector<std::string>& ids) {
    for (const auto& id : ids) {
        worker(id);
        meet(id);
    }
}

void World::checkin_all(const std::vector<std::string>& ids) {
    for (const auto& id : ids) checkin(id);
}

void World::run_placed_tasks(const std::string& machine) {
    decide(machine);
    for (auto& task : workers.at(machine).tasks)
        if (task.state == TaskState::fetching) task.state = TaskState::running;
    pass(0.5);
    checkin(machine);
}

void World::run_job(const model::JobSpec& spec, const std::string& machine) {
    submit(spec);
    run_placed_tasks(machine);
}

StartedLeader::StartedLeader(const std::string& trace, const std::vector<std::string>& ready_workers)
    : World(trace) {
    lead();
    add_ready_workers(ready_workers);
}

std::vector<model::Rental> World::rent() {
    std::vector<model::Rental> out;
    while (const auto r = book_->next_rental()) {
        auto& names = rented_[r->name];
        const bool again = !names.empty();
        while (names.size() < r->count) names.push_back("m-" + std::to_string(++machines_));
        std::string line = "cloud   " + r->name + ": " + std::to_string(r->count) + " " + r->type + " in " +
                           r->zone + (r->spot ? ", spot" : "") + (again ? ", as before:" : ":");
        for (const auto& n : names) {
            line += " " + n;
            if (!workers.contains(n)) worker(n, r->type, r->zone, r->spot);
        }
        note(line);
        book_->rented(r->name, names, now);
        out.push_back(*r);
    }
    return out;
}

void World::release() {
    const auto ids = book_->next_releases(now);
    if (ids.empty()) return;
    std::string line = "cloud   released";
    for (const auto& id : ids) {
        line += " " + id;
        workers.erase(id);
    }
    note(line);
    book_->released(ids, now);
}

}  // namespace pineroad::test
