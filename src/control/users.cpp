// What users ask: any node answers, from the state service alone.
#include <spdlog/spdlog.h>

#include "control/node.hpp"

namespace pineroad::control {

namespace c = constants;
namespace records = wire::records;
using net::Reply;

namespace {
struct Counted {
    std::size_t& n;
    explicit Counted(std::size_t& counter) : n(counter) { ++n; }
    ~Counted() { --n; }
    Counted(const Counted&) = delete;
    Counted& operator=(const Counted&) = delete;
};

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

Reply Node::live_answer(const std::string& id, int status) {
    const auto p = mirror_.progress.find(id);
    std::uint64_t done = 0, running = 0;
    if (p != mirror_.progress.end())
        done = p->second.value.done_count(), running = p->second.value.placements.size();
    return {status, wire::job_answer(id, running > 0 ? wire::JobState::running : wire::JobState::queued,
                                     std::pair(done, running))};
}

net::awaitable<std::optional<std::optional<model::Final>>> Node::find_final(std::string id) {
    if (const auto f = mirror_.final_of(id)) co_return f;
    const auto reply = co_await state("GET", wire::store_target(records::final_key(id)));
    if (reply && reply->status == 404) co_return std::optional<model::Final>{};
    const auto row = reply && reply->status == 200 ? wire::parse_row(reply->body) : std::nullopt;
    const auto f = row ? records::parse_final(row->value) : std::nullopt;
    if (!f) co_return std::nullopt;
    mirror_.learn_final(id, *f, row->stamp);
    co_return f;
}

namespace {
std::string final_answer(const std::string& id, model::Final f) {
    return wire::job_answer(id, f == model::Final::done ? wire::JobState::done : wire::JobState::cancelled);
}
}  // namespace

net::awaitable<Reply> Node::submit(std::string body) {
    const auto parsed = wire::parse_submission(body);
    if (const auto* why = std::get_if<std::string>(&parsed)) co_return Reply{400, wire::error_answer(*why)};
    auto spec = std::get<model::JobSpec>(parsed);
    const std::string id = spec.id;
    if (const auto f = mirror_.final_of(id)) co_return Reply{200, final_answer(id, *f)};
    if (lag_s_ > c::lag_refuse_submissions_s || submissions_ >= c::max_user_inflight) co_return too_busy();
    if (!mirror_.ready || !mirror_.types) co_return refuse("not ready");
    const Counted counted(submissions_);
    if (!mirror_.jobs.contains(id)) {
        // A job accepted under other settings stays accepted: only what nobody knows can be turned away for
        // good.
        if (const auto why = never_runs(spec, settings_, mirror_.types->value)) {
            if (!co_await barrier()) co_return refuse("state service unavailable");
            if (!mirror_.jobs.contains(id)) {
                const auto f = co_await find_final(id);
                if (!f) co_return refuse("state service unavailable");
                if (!*f) co_return Reply{422, wire::error_answer(*why)};
                co_return Reply{200, final_answer(id, **f)};
            }
            co_return live_answer(id, 200);
        }
        spec.accepted_ms = wall_ms();
        auto value = records::job_json(spec);
        wire::Transaction txn;
        txn.when = {{records::job_key(id), 0}, {records::final_key(id), 0}};
        txn.apply = {{records::job_key(id), std::move(value), std::nullopt}};
        const auto reply = co_await state("POST", std::string(wire::commit_path), wire::commit_request(txn));
        if (reply && reply->status == 200) {
            spdlog::info("job {} accepted: {} tasks of class {}, team {}", id, spec.tasks, spec.job_class,
                         spec.team);
            co_return Reply{201, wire::job_answer(id, wire::JobState::queued)};
        }
        if (reply && reply->status == 400) co_return Reply{400, wire::error_answer("too large")};
        // No answer: it may be accepted or not; the user's next try finds out.
        if (!reply || reply->status != 409) co_return refuse("state service unavailable");
    }
    if (!co_await barrier()) co_return refuse("state service unavailable");
    if (mirror_.jobs.contains(id)) co_return live_answer(id, 200);
    const auto f = co_await find_final(id);
    if (!f || !*f) co_return refuse("state service unavailable");
    co_return Reply{200, final_answer(id, **f)};
}

net::awaitable<Reply> Node::poll(std::string id) {
    if (!wire::valid_job_id(id)) co_return Reply{404, wire::error_answer("no such job")};
    if (const auto f = mirror_.final_of(id)) co_return Reply{200, final_answer(id, *f)};
    if (lag_s_ > c::lag_refuse_polls_s || polls_ >= c::max_poll_inflight) co_return too_busy();
    const Counted counted(polls_);
    if (!co_await barrier()) co_return refuse("state service unavailable");
    if (mirror_.jobs.contains(id)) co_return live_answer(id, 200);
    const auto f = co_await find_final(id);
    if (!f) co_return refuse("state service unavailable");
    if (!*f) co_return Reply{404, wire::error_answer("no such job")};
    co_return Reply{200, final_answer(id, **f)};
}

net::awaitable<Reply> Node::cancel(std::string id) {
    if (!wire::valid_job_id(id)) co_return Reply{404, wire::error_answer("no such job")};
    if (const auto f = mirror_.final_of(id)) co_return Reply{200, final_answer(id, *f)};
    if (lag_s_ > c::lag_refuse_polls_s || submissions_ >= c::max_user_inflight) co_return too_busy();
    const Counted counted(submissions_);
    for (int tries = 0; tries < 3; ++tries) {
        if (!co_await barrier()) co_return refuse("state service unavailable");
        const auto job = mirror_.jobs.find(id);
        if (job == mirror_.jobs.end()) {
            const auto f = co_await find_final(id);
            if (!f) co_return refuse("state service unavailable");
            if (!*f) co_return Reply{404, wire::error_answer("no such job")};
            co_return Reply{200, final_answer(id, **f)};
        }
        wire::Transaction txn;
        txn.when = {{records::job_key(id), job->second.stamp}, {records::final_key(id), 0}};
        txn.apply = {{records::job_key(id), std::nullopt, std::nullopt},
                     {records::final_key(id), records::final_json(model::Final::cancelled), std::nullopt}};
        const auto reply = co_await state("POST", std::string(wire::commit_path), wire::commit_request(txn));
        const auto revision = reply && reply->status == 200 ? wire::parse_epoch(reply->body) : std::nullopt;
        if (revision) {
            mirror_.learn_final(id, model::Final::cancelled, *revision);
            spdlog::info("job {} cancelled by its user", id);
            co_await announce(*revision, id);
            co_return Reply{200, final_answer(id, model::Final::cancelled)};
        }
        if (!reply || reply->status != 409) co_return refuse("state service unavailable");
    }
    co_return refuse("state service unavailable");
}

}  // namespace pineroad::control
