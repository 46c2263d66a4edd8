// Handlers that apply each kind of record to the watch cache, selected by a table of keys.
#include <spdlog/spdlog.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "store/watch_cache.hpp"

namespace pineroad::store {

namespace records = wire::records;

namespace {

// A written record whose kind is known.
struct WrittenRecord {
    const std::string& key;
    const std::string& name;  // key without the prefix; empty for a kind with a single key
    const wire::Json& value;
    std::uint64_t mod_revision;
    double now;  // seconds, steady clock
};

void log_unreadable(const std::string& key) {
    spdlog::error("cannot parse record {}", key);
}

}  // namespace

struct WatchCache::RecordHandlers {
    enum class Match { prefix, whole_key };

    // Key of one kind of record, and the functions that apply it.
    struct Handler {
        std::string_view key;
        Match match;  // prefix: the kind has many records, each with its name after the prefix
        void (*on_put)(WatchCache&, const WrittenRecord&);
        void (*on_delete)(WatchCache&, const std::string& name);  // nullptr: deletions are ignored

        // Returns the record's name, or nothing if the key belongs to another kind.
        [[nodiscard]] std::optional<std::string> record_name_in(const std::string& record_key) const {
            if (match == Match::prefix) return records::strip_prefix(record_key, key);
            if (record_key == key) return "";
            return std::nullopt;
        }
    };

    static void put_job(WatchCache& cache, const WrittenRecord& record) {
        auto spec = records::parse_job(record.name, record.value);
        if (!spec) return log_unreadable(record.key);
        cache.last_event_s_ = record.now;
        auto completed_job = cache.dependency_assembler_.add_job({std::move(*spec), record.mod_revision});
        if (completed_job) cache.add_job(std::move(*completed_job), record.now);
    }

    static void put_dependencies(WatchCache& cache, const WrittenRecord& record) {
        const auto slash = record.name.find('/');
        auto dependencies = records::parse_dependencies(record.value);
        if (slash == std::string::npos || !dependencies) return log_unreadable(record.key);
        auto completed_job = cache.dependency_assembler_.add_dependencies(
            record.name.substr(0, slash), record.name.substr(slash + 1), std::move(*dependencies));
        if (completed_job) cache.add_job(std::move(*completed_job), record.now);
    }

    static void put_job_progress(WatchCache& cache, const WrittenRecord& record) {
        auto progress = records::parse_progress(record.value);
        if (!progress) return log_unreadable(record.key);
        cache.progress.apply_job_record(record.name, std::move(*progress), record.mod_revision);
    }

    static void put_segment(WatchCache& cache, const WrittenRecord& record) {
        auto segment = records::parse_segment(record.value);
        if (!segment) {
            spdlog::error("cannot parse segment {}", record.name);
            return;
        }
        cache.progress.apply_segment(record.name, std::move(*segment), record.mod_revision);
    }

    static void put_provisioning_record(WatchCache& cache, const WrittenRecord& record) {
        auto request = records::parse_provisioning_request(record.name, record.value);
        if (!request) return log_unreadable(record.key);
        cache.provisioning_records[record.name] = {std::move(*request), record.mod_revision};
    }

    static void put_provisioning_requests(WatchCache& cache, const WrittenRecord& record) {
        auto requests = records::parse_provisioning_requests(record.value);
        if (!requests) return log_unreadable(record.key);
        cache.open_provisioning_requests = {std::move(*requests), record.mod_revision};
    }

    static void put_outcome(WatchCache& cache, const WrittenRecord& record) {
        if (const auto outcome = records::parse_outcome(record.value))
            cache.record_outcome(record.name, *outcome, record.mod_revision);
    }

    static void put_leader(WatchCache& cache, const WrittenRecord& record) {
        if (auto leader = records::parse_leader(record.value))
            cache.leader = {std::move(*leader), record.mod_revision};
    }

    static void put_term(WatchCache& cache, const WrittenRecord& record) {
        if (const auto token = records::parse_term(record.value)) cache.term = {*token, record.mod_revision};
    }

    static void put_machine_types(WatchCache& cache, const WrittenRecord& record) {
        if (auto types = wire::parse_machine_types(record.value))
            cache.machine_types = {std::move(*types), record.mod_revision};
    }

    static void put_format(WatchCache& cache, const WrittenRecord& record) {
        if (auto controllers = records::parse_format(record.value))
            cache.record_format_readers = {std::move(*controllers), record.mod_revision};
    }

    static void put_category_averages(WatchCache& cache, const WrittenRecord& record) {
        cache.category_averages = {records::parse_category_averages(record.value), record.mod_revision};
    }

    // The job's dependency records are deleted in the same transaction and need no handler.
    static void delete_job(WatchCache& cache, const std::string& id) {
        cache.jobs.erase(id);
        cache.dependency_assembler_.remove(id);
        cache.dependencies_.remove(id);
    }

    static void delete_job_progress(WatchCache& cache, const std::string& id) {
        cache.progress.remove_job_record(id);
    }

    static void delete_provisioning_record(WatchCache& cache, const std::string& name) {
        cache.provisioning_records.erase(name);
    }

    static void delete_leader(WatchCache& cache, const std::string&) { cache.leader.reset(); }

    static const Handler all[];
};

const WatchCache::RecordHandlers::Handler WatchCache::RecordHandlers::all[] = {
    {records::job_prefix, Match::prefix, put_job, delete_job},
    {records::dependencies_prefix, Match::prefix, put_dependencies, nullptr},
    {records::progress_prefix, Match::prefix, put_job_progress, delete_job_progress},
    {records::segment_prefix, Match::prefix, put_segment, nullptr},
    {records::provisioning_request_prefix, Match::prefix, put_provisioning_record,
     delete_provisioning_record},
    {records::outcome_prefix, Match::prefix, put_outcome, nullptr},
    {records::provisioning_requests_key, Match::whole_key, put_provisioning_requests, nullptr},
    {records::leader_key, Match::whole_key, put_leader, delete_leader},
    {records::term_key, Match::whole_key, put_term, nullptr},
    {records::machine_types_key, Match::whole_key, put_machine_types, nullptr},
    {records::format_key, Match::whole_key, put_format, nullptr},
    {records::category_averages_key, Match::whole_key, put_category_averages, nullptr},
};

void WatchCache::apply_put(const std::string& key, const wire::Json& value, std::uint64_t mod_revision,
                           double now) {
    for (const auto& handler : RecordHandlers::all) {
        const auto name = handler.record_name_in(key);
        if (!name) continue;
        handler.on_put(*this, {key, *name, value, mod_revision, now});
        return;
    }
}

void WatchCache::apply_delete(const std::string& key) {
    for (const auto& handler : RecordHandlers::all) {
        const auto name = handler.record_name_in(key);
        if (!name) continue;
        if (handler.on_delete) handler.on_delete(*this, *name);
        return;
    }
}

}  // namespace pineroad::store
