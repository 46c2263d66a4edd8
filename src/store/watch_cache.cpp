#include "store/watch_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::store {

namespace records = wire::records;

namespace {

void log_unreadable(const std::string& key) {
    spdlog::error("record {} cannot be read", key);
}

}  // namespace

WatchCache::WatchCache() : outcomes_(constants::outcome_cache_size) {}

void WatchCache::clear() {
    ready = false;
    revision = 0;
    jobs.clear();
    progress.clear();
    open_provisioning_requests = {};
    provisioning_records.clear();
    leader.reset();
    term = {};
    machine_types.reset();
    category_averages = {};
    format = {};
    dependencies_.clear();
    dependency_assembler_.clear();
}

void WatchCache::apply(const wire::WatchEvents& events, double now) {
    for (const auto& event : events.events) {
        if (event.mod_revision <= revision) continue;
        if (event.value)
            apply_row(event.key, *event.value, event.mod_revision, now);
        else
            apply_drop(event.key);
    }
    revision = std::max(revision, events.revision);
    now_ = now;
}

void WatchCache::complete() {
    ready = true;
    dependencies_.forget_unneeded();
}

void WatchCache::record_outcome(const std::string& id, const model::JobOutcome& outcome,
                                std::uint64_t mod_revision) {
    outcomes_.insert(id, outcome);
    const auto change = dependencies_.end(id, outcome);
    if (outcome.status == model::FinalStatus::cancelled) {
        const bool fresh = cancellations_.add(id, mod_revision);
        if (on_cancelled) on_cancelled(id, fresh);
    }
    dependencies_changed(change);
}

std::optional<model::FinalStatus> WatchCache::outcome_of(const std::string& id) {
    if (const auto outcome = outcomes_.get(id)) return outcome->status;
    if (dependencies_.is_cancelled(id)) return model::FinalStatus::cancelled;
    return std::nullopt;
}

void WatchCache::dependencies_changed(const model::DependencyGraph::Change& change) {
    for (const auto& id : change.ready)
        if (const auto job = jobs.find(id); job != jobs.end()) demand.arrived(job->second.value, now_);
    if (on_dependencies && !(change.ready.empty() && change.cancelled.empty())) on_dependencies(change);
}

void WatchCache::add_job(Versioned<model::JobSpec> added, double now) {
    now_ = now;
    const std::string id = added.value.id;
    const bool fresh = !jobs.contains(id);
    auto& job = jobs[id] = std::move(added);
    if (!fresh) return;
    const auto change = dependencies_.add(job.value);
    if (on_job) on_job(job.value, job.mod_revision);
    // Until its dependencies are done a job adds nothing to the demand.
    if (dependencies_.is_ready(id)) demand.arrived(job.value, now);
    dependencies_changed(change);
    for (const auto& dependency : job.value.dependencies)
        if (const auto outcome = outcomes_.get(dependency))
            dependencies_changed(dependencies_.end(dependency, *outcome));
}

// --- records by kind --------------------------------------------------------------------------------------

struct WatchCache::RecordKind {
    std::string_view key;
    bool is_prefix;  // the key is that of many records: what follows it is the name of one
    void (WatchCache::*put)(const WrittenRecord&);
    void (WatchCache::*drop)(const std::string& name);  // null: deleting such a record changes nothing here

    [[nodiscard]] std::optional<std::string> name_in(const std::string& record_key) const {
        if (is_prefix) return records::under(record_key, key);
        if (record_key == key) return "";
        return std::nullopt;
    }
};

std::span<const WatchCache::RecordKind> WatchCache::record_kinds() {
    using Cache = WatchCache;
    static constexpr bool prefix = true, single = false;
    static constexpr RecordKind kinds[] = {
        {records::job_prefix, prefix, &Cache::put_job, &Cache::drop_job},
        {records::dependencies_prefix, prefix, &Cache::put_dependencies, nullptr},
        {records::progress_prefix, prefix, &Cache::put_job_progress, &Cache::drop_job_progress},
        {records::segment_prefix, prefix, &Cache::put_segment, nullptr},
        {records::provisioning_request_prefix, prefix, &Cache::put_provisioning_record,
         &Cache::drop_provisioning_record},
        {records::outcome_prefix, prefix, &Cache::put_outcome, nullptr},
        {records::provisioning_requests_key, single, &Cache::put_provisioning_requests, nullptr},
        {records::leader_key, single, &Cache::put_leader, &Cache::drop_leader},
        {records::term_key, single, &Cache::put_term, nullptr},
        {records::machine_types_key, single, &Cache::put_machine_types, nullptr},
        {records::format_key, single, &Cache::put_format, nullptr},
        {records::category_averages_key, single, &Cache::put_category_averages, nullptr},
    };
    return kinds;
}

void WatchCache::apply_row(const std::string& key, const wire::Json& value, std::uint64_t mod_revision,
                           double now) {
    for (const auto& kind : record_kinds()) {
        auto name = kind.name_in(key);
        if (!name) continue;
        (this->*kind.put)({key, std::move(*name), value, mod_revision, now});
        return;
    }
}

void WatchCache::apply_drop(const std::string& key) {
    for (const auto& kind : record_kinds()) {
        const auto name = kind.name_in(key);
        if (!name) continue;
        if (kind.drop) (this->*kind.drop)(*name);
        return;
    }
}

void WatchCache::put_job(const WrittenRecord& record) {
    auto spec = records::parse_job(record.name, record.value);
    if (!spec) return log_unreadable(record.key);
    now_ = record.now;
    auto complete = dependency_assembler_.add_job({std::move(*spec), record.mod_revision});
    if (complete) add_job(std::move(*complete), record.now);
}

void WatchCache::put_dependencies(const WrittenRecord& record) {
    const auto slash = record.name.find('/');
    auto dependencies = records::parse_dependencies(record.value);
    if (slash == std::string::npos || !dependencies) return log_unreadable(record.key);
    auto complete = dependency_assembler_.add_dependencies(
        record.name.substr(0, slash), record.name.substr(slash + 1), std::move(*dependencies));
    if (complete) add_job(std::move(*complete), record.now);
}

void WatchCache::put_job_progress(const WrittenRecord& record) {
    auto parsed = records::parse_progress(record.value);
    if (!parsed) return log_unreadable(record.key);
    progress.apply_job_record(record.name, std::move(*parsed), record.mod_revision);
}

void WatchCache::put_segment(const WrittenRecord& record) {
    auto segment = records::parse_segment(record.value);
    if (!segment) {
        spdlog::error("segment {} cannot be read", record.name);
        return;
    }
    progress.apply_segment(record.name, std::move(*segment), record.mod_revision);
}

void WatchCache::put_provisioning_record(const WrittenRecord& record) {
    auto request = records::parse_provisioning_request(record.name, record.value);
    if (!request) return log_unreadable(record.key);
    provisioning_records[record.name] = {std::move(*request), record.mod_revision};
}

void WatchCache::put_provisioning_requests(const WrittenRecord& record) {
    auto requests = records::parse_provisioning_requests(record.value);
    if (!requests) return log_unreadable(record.key);
    open_provisioning_requests = {std::move(*requests), record.mod_revision};
}

void WatchCache::put_outcome(const WrittenRecord& record) {
    if (const auto outcome = records::parse_outcome(record.value))
        record_outcome(record.name, *outcome, record.mod_revision);
}

void WatchCache::put_leader(const WrittenRecord& record) {
    if (auto parsed = records::parse_leader(record.value)) leader = {std::move(*parsed), record.mod_revision};
}

void WatchCache::put_term(const WrittenRecord& record) {
    if (const auto token = records::parse_term(record.value)) term = {*token, record.mod_revision};
}

void WatchCache::put_machine_types(const WrittenRecord& record) {
    if (auto types = wire::parse_machine_types(record.value))
        machine_types = {std::move(*types), record.mod_revision};
}

void WatchCache::put_format(const WrittenRecord& record) {
    if (auto controllers = records::parse_format(record.value))
        format = {std::move(*controllers), record.mod_revision};
}

void WatchCache::put_category_averages(const WrittenRecord& record) {
    category_averages = {records::parse_category_averages(record.value), record.mod_revision};
}

// The further records of its dependency list are deleted in the same transaction.
void WatchCache::drop_job(const std::string& id) {
    jobs.erase(id);
    dependency_assembler_.remove(id);
    dependencies_.remove(id);
}

void WatchCache::drop_job_progress(const std::string& id) {
    progress.remove_job_record(id);
}

void WatchCache::drop_provisioning_record(const std::string& name) {
    provisioning_records.erase(name);
}

void WatchCache::drop_leader(const std::string&) {
    leader.reset();
}

}  // namespace pineroad::store
