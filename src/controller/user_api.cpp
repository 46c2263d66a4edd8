// What users ask: any node answers, from the state service alone.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/controller.hpp"
#include "net/scoped_count.hpp"

namespace pineroad::controller {

namespace c = constants;
namespace records = wire::records;
using net::Reply;

namespace {
// Why a job can never run here, or nothing.
std::optional<std::string> infeasibility(const model::JobSpec& s, const config::Settings& settings,
                                         const std::vector<model::MachineType>& types) {
    const auto* team = settings.team(s.team);
    if (!team) return "unknown team";
    bool fits = false;
    for (const auto& t : types) {
        if (!s.allows_type(t.name) || !s.task_resources.fits_in(t.capacity)) continue;
        for (const auto& z : t.zones) fits = fits || !s.zone || *s.zone == z;
    }
    if (!fits) return "a task fits no allowed machine type";
    const double n = s.shape == model::Shape::gang ? s.task_count : 1;
    constexpr double slack = 1e-6;
    if ((team->cpus_max > 0 && n * s.task_resources.cpus > team->cpus_max + slack) ||
        (team->gpus_max > 0 && n * s.task_resources.gpus > team->gpus_max + slack))
        return "the job needs more than the team's limit";
    return std::nullopt;
}
}  // namespace

// A node that the state service does not serve, or that has too much to do, closes the connection as well, so
// that the user's next try may reach another node: an open connection stays with its node for as long as it
// lasts, and all that its user asks would be refused for as long as this node's trouble does.
Reply Controller::reject(std::string_view why) {
    return {503, wire::error_response(why), retry_after(), !store_.recently_served()};
}
Reply Controller::shed_load() {
    return {503, wire::error_response("too busy"), retry_after(), true};
}

Reply Controller::health() const {
    // In an outage of all nodes there is nobody better to go to.
    if (watch_cache_.ready && watch_cache_.machine_types &&
        (store_.recently_served() || store_down_for_all()))
        return {200, "{}"};
    return {503, wire::error_response("not ready"), 1};
}

// --- what a job is -----------------------------------------------------------------------------------------

Controller::JobPresence Controller::presence_of(model::FinalStatus final) {
    return final == model::FinalStatus::done ? JobPresence::done : JobPresence::cancelled;
}

Reply Controller::answer(const std::string& id, JobPresence job_presence) {
    switch (job_presence) {
        case JobPresence::done:
            return {200, wire::job_status_response(id, wire::JobStatus::done)};
        case JobPresence::cancelled:
            return {200, wire::job_status_response(id, wire::JobStatus::cancelled)};
        case JobPresence::unknown:
            return {404, wire::error_response("no such job")};
        case JobPresence::undecidable:
            return unavailable();
        case JobPresence::live:
            break;
    }
    const auto counts = watch_cache_.task_counts(id);
    const auto state = counts.placed > 0 ? wire::JobStatus::running : wire::JobStatus::queued;
    return {200, wire::job_status_response(id, state, std::pair(counts.done, counts.placed))};
}

net::awaitable<std::optional<std::optional<model::FinalStatus>>> Controller::find_final(std::string id) {
    if (const auto f = watch_cache_.outcome_of(id)) co_return f;
    const auto reply = co_await store_.request("GET", wire::store_target(records::outcome_key(id)));
    if (reply && reply->status == 404) co_return std::optional<model::FinalStatus>{};
    const auto row = reply && reply->status == 200 ? wire::parse_row(reply->body) : std::nullopt;
    const auto ending = row ? records::parse_outcome(row->value) : std::nullopt;
    if (!ending) co_return std::nullopt;
    watch_cache_.record_outcome(id, *ending, row->mod_revision);
    co_return ending->status;
}

net::awaitable<bool> Controller::resolve(std::vector<std::string> dependencies) {
    int lookups = 0;
    for (const auto& id : dependencies) {
        if (watch_cache_.jobs.contains(id)) continue;
        if (++lookups > c::max_dependency_lookups) co_return false;
        const auto final = co_await find_final(id);
        if (!final || !*final) co_return false;
    }
    co_return true;
}

// A live job that depends on others is told as live only when the ends of all before it are known: an
// ancestor that ended before this node's mirror was read might have been cancelled.
net::awaitable<Controller::JobPresence> Controller::job_presence(std::string id) {
    if (!co_await linearizable_read_.catch_up()) co_return JobPresence::undecidable;
    if (watch_cache_.jobs.contains(id)) {
        if (!co_await resolve(watch_cache_.dependencies().unresolved_before(id)))
            co_return JobPresence::undecidable;
        if (const auto f = watch_cache_.outcome_of(id)) co_return presence_of(*f);
        if (watch_cache_.jobs.contains(id)) co_return JobPresence::live;
    }
    const auto f = co_await find_final(id);
    if (!f) co_return JobPresence::undecidable;
    co_return *f ? presence_of(**f) : JobPresence::unknown;
}

// --- dependencies ------------------------------------------------------------------------------------------

namespace {
bool is_service(const model::JobSpec& spec) {
    return spec.shape == model::Shape::service;
}
}  // namespace

// A positive answer may come from memory, since what was accepted stays accepted.
std::optional<Controller::Dependency> Controller::remembered_dependency(const std::string& id) {
    if (const auto job = watch_cache_.jobs.find(id); job != watch_cache_.jobs.end())
        return is_service(job->second.value) ? Dependency::service : Dependency::known;
    if (watch_cache_.outcome_of(id)) return Dependency::known;
    return std::nullopt;
}

// "Never accepted" takes reads sent after the question: first of the live record and then of the final one,
// which replaces it.
net::awaitable<Controller::Dependency> Controller::look_up_dependency(std::string id) {
    const auto reply = co_await store_.request("GET", wire::store_target(records::job_key(id)));
    if (reply && reply->status == 200) {
        const auto row = wire::parse_row(reply->body);
        const auto spec = row ? records::parse_job(id, row->value) : std::nullopt;
        if (!spec) co_return Dependency::undecidable;
        co_return is_service(*spec) ? Dependency::service : Dependency::known;
    }
    if (!reply || reply->status != 404) co_return Dependency::undecidable;
    const auto f = co_await find_final(id);
    if (!f) co_return Dependency::undecidable;
    co_return *f ? Dependency::known : Dependency::unknown;
}

net::awaitable<std::optional<Reply>> Controller::dependency_admission_error(const model::JobSpec& spec) {
    if (spec.dependencies.empty()) co_return std::nullopt;
    if (spec.dependencies.size() > c::max_dependencies)
        co_return Reply{
            400, wire::error_response(fmt::format("WaitsOn names more than {} jobs", c::max_dependencies))};
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.id) != spec.dependencies.end())
        co_return Reply{422, wire::error_response(fmt::format("{} names itself in WaitsOn", spec.id))};
    // An earlier version would start the job at once.
    if (!format_agreed()) {
        asked_to_depend_ = true;
        co_return reject("a controller of an earlier version still serves");
    }
    int lookups = 0;
    for (const auto& id : spec.dependencies) {
        auto dependency = remembered_dependency(id);
        if (!dependency) {
            // What was found is remembered: the next try of the user comes further.
            if (++lookups > c::max_dependency_lookups) co_return reject("too many look-ups at once");
            dependency = co_await look_up_dependency(id);
        }
        switch (*dependency) {
            case Dependency::known:
                break;
            case Dependency::service:
                co_return Reply{422, wire::error_response(fmt::format("{} is a service and never done", id))};
            case Dependency::unknown:
                co_return Reply{422, wire::error_response(fmt::format("{} was never accepted", id))};
            case Dependency::undecidable:
                co_return unavailable();
        }
    }
    co_return std::nullopt;
}

// --- requests ----------------------------------------------------------------------------------------------

net::awaitable<std::optional<Reply>> Controller::admission_error(const model::JobSpec& spec) {
    if (const auto why = infeasibility(spec, settings_, watch_cache_.machine_types->value))
        co_return Reply{422, wire::error_response(*why)};
    co_return co_await dependency_admission_error(spec);
}

net::awaitable<Reply> Controller::submit(std::string body) {
    const auto parsed = wire::parse_submission(body);
    if (const auto* why = std::get_if<std::string>(&parsed)) co_return Reply{400, wire::error_response(*why)};
    auto spec = std::get<model::JobSpec>(parsed);
    const std::string id = spec.id;
    if (const auto f = watch_cache_.outcome_of(id)) co_return answer(id, presence_of(*f));
    if (event_loop_lag_s_ > c::lag_rejects_submissions_s || submissions_ >= c::max_user_inflight)
        co_return shed_load();
    if (!watch_cache_.ready || !watch_cache_.machine_types) co_return reject("not ready");
    const net::ScopedCount counted(submissions_);
    if (watch_cache_.jobs.contains(id)) co_return answer(id, co_await job_presence(id));
    auto refusal = co_await admission_error(spec);
    if (!refusal) {
        switch (co_await accept(std::move(spec))) {
            case Acceptance::accepted:
                co_return Reply{201, wire::job_status_response(id, wire::JobStatus::queued)};
            case Acceptance::uncertain:
                // The user's next try finds out.
                co_return unavailable();
            case Acceptance::conflict:
                refusal = unavailable();
                break;
            case Acceptance::too_large:
                refusal = Reply{400, wire::error_response("the job is too large for the state service")};
                break;
        }
    }
    // A job accepted under other settings, or when its dependencies were not known here, stays accepted: only
    // what nobody knows can be turned away for good.
    const auto known = co_await job_presence(id);
    if (known == JobPresence::unknown) co_return *refusal;
    co_return answer(id, known);
}

namespace {
// The transaction that accepts the job; nothing if it does not fit the state service.
std::optional<wire::Transaction> acceptance(const model::JobSpec& spec, bool cancelled,
                                            const config::Settings& settings) {
    wire::Transaction txn;
    txn.conditions = {{records::job_key(spec.id), 0}, {records::outcome_key(spec.id), 0}};
    if (cancelled) {
        const model::JobOutcome ending{model::FinalStatus::cancelled, spec.accepted_ms};
        txn.changes = {{records::outcome_key(spec.id), records::outcome_json(ending), std::nullopt}};
        return txn;
    }
    const auto bytes = static_cast<std::size_t>(settings.value_kb * 1024 * c::value_fill_ratio);
    auto shards = records::job_records(spec, bytes, c::dependency_records);
    if (!shards) return std::nullopt;
    txn.changes = {{records::job_key(spec.id), std::move(shards->job), std::nullopt}};
    std::uint32_t number = 0;
    for (auto& record : shards->dependencies)
        txn.changes.push_back(
            {records::dependencies_key(spec.id, ++number), std::move(record), std::nullopt});
    return txn;
}
}  // namespace

net::awaitable<Controller::Acceptance> Controller::accept(model::JobSpec spec) {
    const auto& id = spec.id;
    spec.accepted_ms = wall_ms();
    // What depends on a cancelled job is over as soon as it is accepted.
    const bool cancelled = std::any_of(
        spec.dependencies.begin(), spec.dependencies.end(),
        [&](const auto& before) { return watch_cache_.outcome_of(before) == model::FinalStatus::cancelled; });
    const auto txn = acceptance(spec, cancelled, settings_);
    if (!txn) co_return Acceptance::too_large;
    const auto reply =
        co_await store_.request("POST", std::string(wire::commit_path), wire::commit_request(*txn));
    const auto revision = reply && reply->status == 200 ? wire::parse_revision(reply->body) : std::nullopt;
    if (revision) {
        if (cancelled)
            watch_cache_.record_outcome(id, {model::FinalStatus::cancelled, spec.accepted_ms}, *revision);
        spdlog::info("job {} accepted: {} tasks of class {}, team {}{}", id, spec.task_count, spec.job_class,
                     spec.team, cancelled ? ", withdrawn with one that it depends on" : "");
        co_return Acceptance::accepted;
    }
    if (reply && reply->status == 409) co_return Acceptance::conflict;
    if (reply && reply->status == 400) {
        spdlog::error("the state service refused job {}: {}", id, reply->body);
        co_return Acceptance::too_large;
    }
    co_return Acceptance::uncertain;
}

net::awaitable<Reply> Controller::poll(std::string id) {
    if (!wire::valid_job_id(id)) co_return answer(id, JobPresence::unknown);
    if (const auto f = watch_cache_.outcome_of(id)) co_return answer(id, presence_of(*f));
    if (event_loop_lag_s_ > c::lag_rejects_polls_s || polls_ >= c::max_poll_inflight) co_return shed_load();
    const net::ScopedCount counted(polls_);
    co_return answer(id, co_await job_presence(id));
}

namespace {
wire::Transaction cancellation(const store::Versioned<model::JobSpec>& job, std::int64_t ended_at_ms) {
    const auto& id = job.value.id;
    wire::Transaction txn;
    txn.conditions = {{records::job_key(id), job.mod_revision}, {records::outcome_key(id), 0}};
    txn.changes = {{records::job_key(id), std::nullopt, std::nullopt},
                   {records::outcome_key(id),
                    records::outcome_json({model::FinalStatus::cancelled, ended_at_ms}), std::nullopt}};
    for (std::uint32_t n = 1; n <= job.value.dependency_records; ++n)
        txn.changes.push_back({records::dependencies_key(id, n), std::nullopt, std::nullopt});
    return txn;
}
}  // namespace

net::awaitable<Reply> Controller::cancel(std::string id) {
    if (!wire::valid_job_id(id)) co_return answer(id, JobPresence::unknown);
    if (const auto f = watch_cache_.outcome_of(id)) co_return answer(id, presence_of(*f));
    if (event_loop_lag_s_ > c::lag_rejects_polls_s || submissions_ >= c::max_user_inflight)
        co_return shed_load();
    const net::ScopedCount counted(submissions_);
    for (int tries = 0; tries < 3; ++tries) {
        const auto known = co_await job_presence(id);
        if (known != JobPresence::live) co_return answer(id, known);
        const auto job = watch_cache_.jobs.find(id);
        if (job == watch_cache_.jobs.end()) continue;  // it ended meanwhile
        const auto ended_at_ms = wall_ms();
        const auto txn = cancellation(job->second, ended_at_ms);
        const auto reply =
            co_await store_.request("POST", std::string(wire::commit_path), wire::commit_request(txn));
        const auto revision =
            reply && reply->status == 200 ? wire::parse_revision(reply->body) : std::nullopt;
        if (revision) {
            watch_cache_.record_outcome(id, {model::FinalStatus::cancelled, ended_at_ms}, *revision);
            spdlog::info("job {} cancelled by its user", id);
            co_await forward_cancellation(*revision, id);
            co_return answer(id, JobPresence::cancelled);
        }
        if (!reply || reply->status != 409) co_return unavailable();
    }
    co_return unavailable();
}

}  // namespace pineroad::controller
