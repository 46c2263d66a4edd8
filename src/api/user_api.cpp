#include "api/user_api.hpp"

#include <utility>
#include <variant>

#include "wire/protocol.hpp"

namespace pineroad::api {

using net::Response;

namespace {
// Maximum number of attempts to cancel a job that is changed concurrently.
constexpr int max_cancellation_tries = 3;
}  // namespace

net::awaitable<Response> UserApi::submit(std::string body) {
    const auto parsed = wire::parse_submission(body);
    if (!parsed) co_return Response{400, wire::error_response(parsed.error().message())};
    auto spec = *parsed;
    const std::string id = spec.id;
    auto& watch_cache = dependencies_.watch_cache;
    auto& job_lookup = dependencies_.job_lookup;
    auto& load_shedding = dependencies_.load_shedding;
    if (const auto outcome = job_lookup.cached_outcome(id)) co_return job_state_response(id, *outcome);
    if (load_shedding.submissions_overloaded()) co_return load_shedding.reject_overloaded();
    if (!watch_cache.ready || !watch_cache.machine_types) co_return load_shedding.reject("not ready");
    const auto in_flight_count = load_shedding.count_submission();
    if (watch_cache.jobs.contains(id)) co_return job_state_response(id, co_await job_lookup.look_up(id));
    const auto admitted = co_await admit(std::move(spec));
    if (admitted) co_return Response{201, wire::job_status_response(id, wire::JobStatus::queued)};
    // The job may have been accepted earlier, under other settings or by a controller that knew its
    // dependencies, and such a job stays accepted. The error is therefore returned only if no controller
    // knows the job.
    if (admitted.error().kind == AdmissionErrorKind::acceptance_uncertain)
        co_return to_error_response(admitted.error());
    const auto state = co_await job_lookup.look_up(id);
    if (state != JobState::unknown) co_return job_state_response(id, state);
    co_return to_error_response(dependencies_.admission.confirm_error(*parsed, admitted.error()));
}

net::awaitable<AdmissionResult> UserApi::admit(model::JobSpec spec) {
    auto checked = co_await dependencies_.admission.check(spec);
    if (!checked) co_return checked;
    switch (co_await dependencies_.job_writer.accept(std::move(spec))) {
        case AcceptanceStatus::accepted:
            break;
        case AcceptanceStatus::conflict:
            co_return dependencies_.admission.store_unavailable();
        case AcceptanceStatus::too_large:
            co_return AdmissionError{AdmissionErrorKind::malformed, 400,
                                     "the job is too large for the state service"};
        case AcceptanceStatus::uncertain: {
            auto error = dependencies_.admission.store_unavailable();
            error.kind = AdmissionErrorKind::acceptance_uncertain;
            co_return error;
        }
    }
    co_return AdmissionResult{};
}

net::awaitable<Response> UserApi::poll(std::string id) {
    auto& load_shedding = dependencies_.load_shedding;
    if (!wire::valid_job_id(id)) co_return job_state_response(id, JobState::unknown);
    if (const auto outcome = dependencies_.job_lookup.cached_outcome(id))
        co_return job_state_response(id, *outcome);
    if (load_shedding.polls_overloaded()) co_return load_shedding.reject_overloaded();
    const auto in_flight_count = load_shedding.count_poll();
    co_return job_state_response(id, co_await dependencies_.job_lookup.look_up(id));
}

net::awaitable<Response> UserApi::cancel(std::string id) {
    auto& job_lookup = dependencies_.job_lookup;
    auto& load_shedding = dependencies_.load_shedding;
    if (!wire::valid_job_id(id)) co_return job_state_response(id, JobState::unknown);
    if (const auto outcome = job_lookup.cached_outcome(id)) co_return job_state_response(id, *outcome);
    if (load_shedding.cancellations_overloaded()) co_return load_shedding.reject_overloaded();
    const auto in_flight_count = load_shedding.count_submission();
    for (int tries = 0; tries < max_cancellation_tries; ++tries) {
        const auto state = co_await job_lookup.look_up(id);
        if (state != JobState::live) co_return job_state_response(id, state);
        const auto& jobs = dependencies_.watch_cache.jobs;
        const auto job = jobs.find(id);
        if (job == jobs.end()) continue;  // the job finished during the look-up
        const auto result = co_await dependencies_.job_writer.cancel(job->second);
        if (result.status == CancellationStatus::cancelled) {
            co_await dependencies_.peers.forward_cancellation(result.revision, id);
            co_return job_state_response(id, JobState::cancelled);
        }
        if (result.status == CancellationStatus::uncertain) break;
    }
    co_return load_shedding.reject_unavailable();
}

Response UserApi::job_state_response(const std::string& id, JobState state) {
    switch (state) {
        case JobState::done:
            return {200, wire::job_status_response(id, wire::JobStatus::done)};
        case JobState::cancelled:
            return {200, wire::job_status_response(id, wire::JobStatus::cancelled)};
        case JobState::unknown:
            return {404, wire::error_response("no such job")};
        case JobState::undetermined:
            return dependencies_.load_shedding.reject_unavailable();
        case JobState::live:
            break;
    }
    const auto counts = dependencies_.watch_cache.task_counts(id);
    const auto status = counts.placed > 0 ? wire::JobStatus::running : wire::JobStatus::queued;
    return {200,
            wire::job_status_response(id, status, wire::DisplayedTaskCounts{counts.done, counts.placed})};
}

}  // namespace pineroad::api
