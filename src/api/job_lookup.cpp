#include "api/job_lookup.hpp"

#include "config/constants.hpp"
#include "wire/records.hpp"

namespace pineroad::api {

namespace c = constants;
namespace records = wire::records;

JobState job_state_of(model::FinalStatus outcome) {
    return outcome == model::FinalStatus::done ? JobState::done : JobState::cancelled;
}

JobLookup::JobLookup(store::StoreClient& store, store::LinearizableRead& linearizable_read,
                     store::WatchCache& watch_cache)
    : store_(store), linearizable_read_(linearizable_read), watch_cache_(watch_cache) {}

std::optional<JobState> JobLookup::cached_outcome(const std::string& id) {
    const auto outcome = watch_cache_.outcome_of(id);
    if (!outcome) return std::nullopt;
    return job_state_of(*outcome);
}

// A job with dependencies is reported as live only if the outcomes of all its finished ancestors are known:
// an ancestor that finished before this controller's watch cache was loaded might have been cancelled.
net::awaitable<JobState> JobLookup::look_up(std::string id) {
    if (!co_await linearizable_read_.catch_up()) co_return JobState::undetermined;
    if (watch_cache_.jobs.contains(id)) {
        if (!co_await resolve_outcomes(watch_cache_.dependencies().unresolved_ancestors(id)))
            co_return JobState::undetermined;
        if (const auto outcome = cached_outcome(id)) co_return *outcome;
        if (watch_cache_.jobs.contains(id)) co_return JobState::live;
    }
    co_return co_await look_up_outcome(id);
}

net::awaitable<JobState> JobLookup::look_up_outcome(std::string id) {
    if (const auto outcome = cached_outcome(id)) co_return *outcome;
    const auto read = co_await store_.read(records::outcome_key(id));
    if (read.status == store::ReadStatus::absent) co_return JobState::unknown;
    const auto outcome = read.row ? records::parse_outcome(read.row->value) : std::nullopt;
    if (!outcome) co_return JobState::undetermined;
    watch_cache_.record_outcome(id, *outcome, read.row->mod_revision);
    co_return job_state_of(outcome->status);
}

net::awaitable<bool> JobLookup::resolve_outcomes(std::vector<std::string> ids) {
    int lookups = 0;
    for (const auto& id : ids) {
        if (watch_cache_.jobs.contains(id)) continue;
        if (++lookups > c::max_dependency_lookups) co_return false;
        const auto outcome = co_await look_up_outcome(id);
        if (outcome == JobState::undetermined || outcome == JobState::unknown) co_return false;
    }
    co_return true;
}

net::awaitable<void> JobLookup::resolve_dependencies() {
    for (;;) {
        if (watch_cache_.ready) co_await resolve_outcomes(watch_cache_.dependencies().unresolved());
        co_await net::sleep_for(c::dependency_lookup_period_s);
    }
}

}  // namespace pineroad::api
