#include "api/admission.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "config/constants.hpp"
#include "scheduling/feasibility.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::api {

namespace c = constants;
namespace records = wire::records;

namespace {

bool is_service(const model::JobSpec& spec) {
    return spec.shape == model::Shape::service;
}

}  // namespace

net::Response to_error_response(const AdmissionError& error) {
    return {error.status, wire::error_response(error.message), error.retry_after_s, error.close_connection};
}

AdmissionError Admission::retry_later_error(std::string_view reason) {
    return {AdmissionErrorKind::retry_later, 503, std::string(reason),
            dependencies_.load_shedding.retry_after_s(), dependencies_.load_shedding.closes_connection()};
}

net::awaitable<AdmissionResult> Admission::check(const model::JobSpec& spec) {
    auto feasible = check_feasibility(spec);
    if (!feasible) co_return feasible;
    if (spec.dependencies.empty()) co_return AdmissionResult{};
    auto acceptable = check_dependency_list(spec);
    if (!acceptable) co_return acceptable;
    co_return co_await check_dependencies(spec);
}

AdmissionError Admission::confirm_error(const model::JobSpec& spec, const AdmissionError& error) {
    if (error.kind != AdmissionErrorKind::infeasible) return error;
    const auto feasible = check_feasibility(spec);
    return feasible ? retry_later_error("the machine types have changed") : feasible.error();
}

AdmissionResult Admission::check_feasibility(const model::JobSpec& spec) {
    const auto& types = dependencies_.watch_cache.machine_types;
    if (!types || !scheduling::offers_machines(types->value))
        return retry_later_error("the machine types are not known");
    const auto reason = scheduling::find_infeasibility(spec, dependencies_.settings, types->value);
    if (!reason) return {};
    return AdmissionError{AdmissionErrorKind::infeasible, 422, std::string(scheduling::to_string(*reason))};
}

AdmissionResult Admission::check_dependency_list(const model::JobSpec& spec) {
    if (spec.dependencies.size() > c::max_dependencies)
        return AdmissionError{
            AdmissionErrorKind::malformed, 400,
            fmt::format("{} names more than {} jobs", wire::dependencies_field, c::max_dependencies)};
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.id) != spec.dependencies.end())
        return AdmissionError{AdmissionErrorKind::invalid_dependency, 422,
                              fmt::format("{} names itself in {}", spec.id, wire::dependencies_field)};
    // A controller of an earlier version would ignore the dependencies and start the job immediately.
    if (!dependencies_.record_format_tracker.all_controllers_read_format()) {
        dependencies_.record_format_tracker.record_dependency_request();
        return retry_later_error("a controller of an earlier version still serves");
    }
    return {};
}

net::awaitable<AdmissionResult> Admission::check_dependencies(const model::JobSpec& spec) {
    int lookups = 0;
    for (const auto& id : spec.dependencies) {
        auto state = cached_dependency_state(id);
        if (!state) {
            // The outcomes found so far are cached, so the user's next attempt gets further.
            if (++lookups > c::max_dependency_lookups)
                co_return retry_later_error("too many look-ups at once");
            state = co_await look_up_dependency(id);
        }
        auto acceptable = check_dependency(id, *state);
        if (!acceptable) co_return acceptable;
    }
    co_return AdmissionResult{};
}

AdmissionResult Admission::check_dependency(const std::string& id, DependencyState state) {
    const auto rejection = [](std::string text) {
        return AdmissionError{AdmissionErrorKind::invalid_dependency, 422, std::move(text)};
    };
    switch (state) {
        case DependencyState::accepted:
            return {};
        case DependencyState::service:
            return rejection(fmt::format("{} is a service and never done", id));
        case DependencyState::unknown:
            return rejection(fmt::format("{} was never accepted", id));
        case DependencyState::undetermined:
            break;
    }
    return store_unavailable();
}

// The watch cache may lag behind, but it can show that a job was accepted, because an accepted job stays
// accepted.
std::optional<Admission::DependencyState> Admission::cached_dependency_state(const std::string& id) {
    auto& watch_cache = dependencies_.watch_cache;
    if (const auto job = watch_cache.jobs.find(id); job != watch_cache.jobs.end())
        return is_service(job->second.value) ? DependencyState::service : DependencyState::accepted;
    if (watch_cache.outcome_of(id)) return DependencyState::accepted;
    return std::nullopt;
}

// A job counts as never accepted only if it has neither a live record nor a final record. Both are read after
// the request arrived, and in this order, because the final record replaces the live one.
net::awaitable<Admission::DependencyState> Admission::look_up_dependency(std::string id) {
    const auto read = co_await dependencies_.store.read(records::job_key(id));
    if (read.status == store::ReadStatus::unavailable) co_return DependencyState::undetermined;
    if (read.status == store::ReadStatus::found) {
        const auto spec = read.row ? records::parse_job(id, read.row->value) : std::nullopt;
        if (!spec) co_return DependencyState::undetermined;
        co_return is_service(*spec) ? DependencyState::service : DependencyState::accepted;
    }
    switch (co_await dependencies_.job_lookup.look_up_outcome(id)) {
        case JobState::undetermined:
            co_return DependencyState::undetermined;
        case JobState::unknown:
            co_return DependencyState::unknown;
        default:
            co_return DependencyState::accepted;
    }
}

}  // namespace pineroad::api
