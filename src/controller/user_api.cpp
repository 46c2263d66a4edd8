// What users ask: any node answers, from the state service alone.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/node.hpp"
#include "net/scoped_count.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;
using net::Reply;

namespace {
// Why a job can never run here, or nothing.
std::optional<std::string> never_runs(const model::JobSpec& s, const config::Settings& settings,
                                      const std::vector<model::MachineType>& types) {
    const auto* team = settings.team(s.team);
    if (!team) return "unknown team";
    bool fits = false;
    for (const auto& t : types) {
        if (!s.allows_type(t.name) || !s.need.fits_in(t.room)) continue;
        for (const auto& z : t.zones) fits = fits || !s.zone || *s.zone == z;
    }
    if (!fits) return "a task fits no allowed machine type";
    const double n = s.shape == model::Shape::gang ? s.tasks : 1;
    constexpr double slack = 1e-6;
    if ((team->cpus_max > 0 && n * s.need.cpus > team->cpus_max + slack) ||
        (team->gpus_max > 0 && n * s.need.gpus > team->gpus_max + slack))
        return "the job needs more than the team's limit";
    return std::nullopt;
}
}  // namespace

// A node that the state service does not serve, or that has too much to do, closes the connection as well, so
// that the user's next try may reach another node: an open connection stays with its node for as long as it
// lasts, and all that its user asks would be refused for as long as this node's trouble does.
Reply Node::refuse(std::string_view why) {
    return {503, wire::error_answer(why), retry_after(), !served()};
}
Reply Node::too_busy() {
    return {503, wire::error_answer("too busy"), retry_after(), true};
}

bool Node::served() const {
    return state_contact_ >= 0 && now() - state_contact_ < c::state_fresh_s;
}

Reply Node::health() const {
    // In an outage of all nodes there is nobody better to go to.
    if (mirror_.ready && mirror_.types && (served() || whole_outage())) return {200, "{}"};
    return {503, wire::error_answer("not ready"), 1};
}

// --- what a job is -----------------------------------------------------------------------------------------

Node::Standing Node::standing_of(model::Final final) {
    return final == model::Final::done ? Standing::done : Standing::cancelled;
}

Reply Node::answer(const std::string& id, Standing standing) {
    switch (standing) {
        case Standing::done:
            return {200, wire::job_answer(id, wire::JobState::done)};
        case Standing::cancelled:
            return {200, wire::job_answer(id, wire::JobState::cancelled)};
        case Standing::unknown:
            return {404, wire::error_answer("no such job")};
        case Standing::undecidable:
            return unavailable();
        case Standing::live:
            break;
    }
    const auto counts = mirror_.task_counts(id);
    const auto state = counts.placed > 0 ? wire::JobState::running : wire::JobState::queued;
    return {200, wire::job_answer(id, state, std::pair(counts.done, counts.placed))};
}

net::awaitable<std::optional<std::optional<model::Final>>> Node::find_final(std::string id) {
    if (const auto f = mirror_.final_of(id)) co_return f;
    const auto reply = co_await state("GET", wire::store_target(records::final_key(id)));
    if (reply && reply->status == 404) co_return std::optional<model::Final>{};
    const auto row = reply && reply->status == 200 ? wire::parse_row(reply->body) : std::nullopt;
    const auto ending = row ? records::parse_final(row->value) : std::nullopt;
    if (!ending) co_return std::nullopt;
    mirror_.learn_final(id, *ending, row->stamp);
    co_return ending->final;
}

net::awaitable<bool> Node::resolve(std::vector<std::string> dependencies) {
    int lookups = 0;
    for (const auto& id : dependencies) {
        if (mirror_.jobs.contains(id)) continue;
        if (++lookups > c::dependency_lookups) co_return false;
        const auto final = co_await find_final(id);
        if (!final || !*final) co_return false;
    }
    co_return true;
}

// A live job that depends on others is told as live only when the ends of all before it are known: an
// ancestor that ended before this node's mirror was read might have been cancelled.
net::awaitable<Node::Standing> Node::standing(std::string id) {
    if (!co_await barrier()) co_return Standing::undecidable;
    if (mirror_.jobs.contains(id)) {
        if (!co_await resolve(mirror_.dependencies().unresolved_before(id))) co_return Standing::undecidable;
        if (const auto f = mirror_.final_of(id)) co_return standing_of(*f);
        if (mirror_.jobs.contains(id)) co_return Standing::live;
    }
    const auto f = co_await find_final(id);
    if (!f) co_return Standing::undecidable;
    co_return *f ? standing_of(**f) : Standing::unknown;
}

// --- dependencies ------------------------------------------------------------------------------------------

namespace {
bool is_service(const model::JobSpec& spec) {
    return spec.shape == model::Shape::service;
}
}  // namespace

// A positive answer may come from memory, since what was accepted stays accepted.
std::optional<Node::Dependency> Node::remembered_dependency(const std::string& id) {
    if (const auto job = mirror_.jobs.find(id); job != mirror_.jobs.end())
        return is_service(job->second.value) ? Dependency::service : Dependency::known;
    if (mirror_.final_of(id)) return Dependency::known;
    return std::nullopt;
}

// "Never accepted" takes reads sent after the question: first of the live record and then of the final one,
// which replaces it.
net::awaitable<Node::Dependency> Node::look_up_dependency(std::string id) {
    const auto reply = co_await state("GET", wire::store_target(records::job_key(id)));
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

net::awaitable<std::optional<Reply>> Node::objection_to_dependencies(const model::JobSpec& spec) {
    if (spec.dependencies.empty()) co_return std::nullopt;
    if (spec.dependencies.size() > c::max_dependencies)
        co_return Reply{
            400, wire::error_answer(fmt::format("WaitsOn names more than {} jobs", c::max_dependencies))};
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.id) != spec.dependencies.end())
        co_return Reply{422, wire::error_answer(fmt::format("{} names itself in WaitsOn", spec.id))};
    // An earlier version would start the job at once.
    if (!format_agreed()) {
        asked_to_depend_ = true;
        co_return refuse("a controller of an earlier version still serves");
    }
    int lookups = 0;
    for (const auto& id : spec.dependencies) {
        auto dependency = remembered_dependency(id);
        if (!dependency) {
            // What was found is remembered: the next try of the user comes further.
            if (++lookups > c::dependency_lookups) co_return refuse("too many look-ups at once");
            dependency = co_await look_up_dependency(id);
        }
        switch (*dependency) {
            case Dependency::known:
                break;
            case Dependency::service:
                co_return Reply{422, wire::error_answer(fmt::format("{} is a service and never done", id))};
            case Dependency::unknown:
                co_return Reply{422, wire::error_answer(fmt::format("{} was never accepted", id))};
            case Dependency::undecidable:
                co_return unavailable();
        }
    }
    co_return std::nullopt;
}

// --- requests ----------------------------------------------------------------------------------------------

net::awaitable<std::optional<Reply>> Node::objection(const model::JobSpec& spec) {
    if (const auto why = never_runs(spec, settings_, mirror_.types->value))
        co_return Reply{422, wire::error_answer(*why)};
    co_return co_await objection_to_dependencies(spec);
}

net::awaitable<Reply> Node::submit(std::string body) {
    const auto parsed = wire::parse_submission(body);
    if (const auto* why = std::get_if<std::string>(&parsed)) co_return Reply{400, wire::error_answer(*why)};
    auto spec = std::get<model::JobSpec>(parsed);
    const std::string id = spec.id;
    if (const auto f = mirror_.final_of(id)) co_return answer(id, standing_of(*f));
    if (lag_s_ > c::lag_refuse_submissions_s || submissions_ >= c::max_user_inflight) co_return too_busy();
    if (!mirror_.ready || !mirror_.types) co_return refuse("not ready");
    const net::ScopedCount counted(submissions_);
    if (mirror_.jobs.contains(id)) co_return answer(id, co_await standing(id));
    auto refusal = co_await objection(spec);
    if (!refusal) {
        switch (co_await accept(std::move(spec))) {
            case Acceptance::accepted:
                co_return Reply{201, wire::job_answer(id, wire::JobState::queued)};
            case Acceptance::uncertain:
                // The user's next try finds out.
                co_return unavailable();
            case Acceptance::conflict:
                refusal = unavailable();
                break;
            case Acceptance::too_large:
                refusal = Reply{400, wire::error_answer("the job is too large for the state service")};
                break;
        }
    }
    // A job accepted under other settings, or when its dependencies were not known here, stays accepted: only
    // what nobody knows can be turned away for good.
    const auto known = co_await standing(id);
    if (known == Standing::unknown) co_return *refusal;
    co_return answer(id, known);
}

namespace {
// The transaction that accepts the job; nothing if it does not fit the state service.
std::optional<wire::Transaction> acceptance(const model::JobSpec& spec, bool cancelled,
                                            const config::Settings& settings) {
    wire::Transaction txn;
    txn.when = {{records::job_key(spec.id), 0}, {records::final_key(spec.id), 0}};
    if (cancelled) {
        const model::Ending ending{model::Final::cancelled, spec.accepted_ms};
        txn.apply = {{records::final_key(spec.id), records::final_json(ending), std::nullopt}};
        return txn;
    }
    const auto bytes = static_cast<std::size_t>(settings.value_kb * 1024 * c::value_fill);
    auto parts = records::job_records(spec, bytes, c::dependency_records);
    if (!parts) return std::nullopt;
    txn.apply = {{records::job_key(spec.id), std::move(parts->job), std::nullopt}};
    std::uint32_t number = 0;
    for (auto& record : parts->dependencies)
        txn.apply.push_back({records::dependencies_key(spec.id, ++number), std::move(record), std::nullopt});
    return txn;
}
}  // namespace

net::awaitable<Node::Acceptance> Node::accept(model::JobSpec spec) {
    const auto& id = spec.id;
    spec.accepted_ms = wall_ms();
    // What depends on a cancelled job is over as soon as it is accepted.
    const bool cancelled =
        std::any_of(spec.dependencies.begin(), spec.dependencies.end(),
                    [&](const auto& before) { return mirror_.final_of(before) == model::Final::cancelled; });
    const auto txn = acceptance(spec, cancelled, settings_);
    if (!txn) co_return Acceptance::too_large;
    const auto reply = co_await state("POST", std::string(wire::commit_path), wire::commit_request(*txn));
    const auto revision = reply && reply->status == 200 ? wire::parse_epoch(reply->body) : std::nullopt;
    if (revision) {
        if (cancelled) mirror_.learn_final(id, {model::Final::cancelled, spec.accepted_ms}, *revision);
        spdlog::info("job {} accepted: {} tasks of class {}, team {}{}", id, spec.tasks, spec.job_class,
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

net::awaitable<Reply> Node::poll(std::string id) {
    if (!wire::valid_job_id(id)) co_return answer(id, Standing::unknown);
    if (const auto f = mirror_.final_of(id)) co_return answer(id, standing_of(*f));
    if (lag_s_ > c::lag_refuse_polls_s || polls_ >= c::max_poll_inflight) co_return too_busy();
    const net::ScopedCount counted(polls_);
    co_return answer(id, co_await standing(id));
}

namespace {
wire::Transaction cancellation(const Versioned<model::JobSpec>& job, std::int64_t at_ms) {
    const auto& id = job.value.id;
    wire::Transaction txn;
    txn.when = {{records::job_key(id), job.stamp}, {records::final_key(id), 0}};
    txn.apply = {
        {records::job_key(id), std::nullopt, std::nullopt},
        {records::final_key(id), records::final_json({model::Final::cancelled, at_ms}), std::nullopt}};
    for (std::uint32_t n = 1; n <= job.value.dependency_records; ++n)
        txn.apply.push_back({records::dependencies_key(id, n), std::nullopt, std::nullopt});
    return txn;
}
}  // namespace

net::awaitable<Reply> Node::cancel(std::string id) {
    if (!wire::valid_job_id(id)) co_return answer(id, Standing::unknown);
    if (const auto f = mirror_.final_of(id)) co_return answer(id, standing_of(*f));
    if (lag_s_ > c::lag_refuse_polls_s || submissions_ >= c::max_user_inflight) co_return too_busy();
    const net::ScopedCount counted(submissions_);
    for (int tries = 0; tries < 3; ++tries) {
        const auto known = co_await standing(id);
        if (known != Standing::live) co_return answer(id, known);
        const auto job = mirror_.jobs.find(id);
        if (job == mirror_.jobs.end()) continue;  // it ended meanwhile
        const auto at_ms = wall_ms();
        const auto txn = cancellation(job->second, at_ms);
        const auto reply = co_await state("POST", std::string(wire::commit_path), wire::commit_request(txn));
        const auto revision = reply && reply->status == 200 ? wire::parse_epoch(reply->body) : std::nullopt;
        if (revision) {
            mirror_.learn_final(id, {model::Final::cancelled, at_ms}, *revision);
            spdlog::info("job {} cancelled by its user", id);
            co_await announce(*revision, id);
            co_return answer(id, Standing::cancelled);
        }
        if (!reply || reply->status != 409) co_return unavailable();
    }
    co_return unavailable();
}

}  // namespace pineroad::control
