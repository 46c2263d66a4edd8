// How each kind of record changes the watch cache: one handler a kind, chosen by a table of keys.
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
    const std::string& name;  // what follows the prefix in the key; empty for a key of its own
    const wire::Json& value;
    std::uint64_t mod_revision;
    double now;  // seconds, steady clock
};

void log_unreadable(const std::string& key) {
    spdlog::error("record {} cannot be read", key);
}

}  // namespace

struct WatchCache::RecordKinds {
    enum class Match { prefix, whole_key };

    // One kind of record: its key, and what a record of it changes.
    struct Kind {
        std::string_view key;
        Match match;  // prefix: the key of many records, each with a name of its own after it
        void (*put)(WatchCache&, const WrittenRecord&);
        void (*drop)(WatchCache&, const std::string& name);  // null: deleting one changes nothing here

        // The record's name, or nothing if it is of another kind.
        [[nodiscard]] std::optional<std::string> name_in(const std::string& record_key) const {
            if (match == Match::prefix) return records::strip_prefix(record_key, key);
            if (record_key == key) return "";
            return std::nullopt;
        }
    };

    static void put_job(WatchCache& cache, const WrittenRecord& record) {
        auto spec = records::parse_job(record.name, record.value);
        if (!spec) return log_unreadable(record.key);
        cache.now_ = record.now;
        auto complete = cache.dependency_assembler_.add_job({std::move(*spec), record.mod_revision});
        if (complete) cache.add_job(std::move(*complete), record.now);
    }

    static void put_dependencies(WatchCache& cache, const WrittenRecord& record) {
        const auto slash = record.name.find('/');
        auto dependencies = records::parse_dependencies(record.value);
        if (slash == std::string::npos || !dependencies) return log_unreadable(record.key);
        auto complete = cache.dependency_assembler_.add_dependencies(
            record.name.substr(0, slash), record.name.substr(slash + 1), std::move(*dependencies));
        if (complete) cache.add_job(std::move(*complete), record.now);
    }

    static void put_job_progress(WatchCache& cache, const WrittenRecord& record) {
        auto progress = records::parse_progress(record.value);
        if (!progress) return log_unreadable(record.key);
        cache.progress.apply_job_record(record.name, std::move(*progress), record.mod_revision);
    }

    static void put_segment(WatchCache& cache, const WrittenRecord& record) {
        auto segment = records::parse_segment(record.value);
        if (!segment) {
            spdlog::error("segment {} cannot be read", record.name);
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
            cache.format = {std::move(*controllers), record.mod_revision};
    }

    static void put_category_averages(WatchCache& cache, const WrittenRecord& record) {
        cache.category_averages = {records::parse_category_averages(record.value), record.mod_revision};
    }

    // The further records of its dependency list are deleted in the same transaction.
    static void drop_job(WatchCache& cache, const std::string& id) {
        cache.jobs.erase(id);
        cache.dependency_assembler_.remove(id);
        cache.dependencies_.remove(id);
    }

    static void drop_job_progress(WatchCache& cache, const std::string& id) {
        cache.progress.remove_job_record(id);
    }

    static void drop_provisioning_record(WatchCache& cache, const std::string& name) {
        cache.provisioning_records.erase(name);
    }

    static void drop_leader(WatchCache& cache, const std::string&) { cache.leader.reset(); }

    static const Kind all[];
};

const WatchCache::RecordKinds::Kind WatchCache::RecordKinds::all[] = {
    {records::job_prefix, Match::prefix, put_job, drop_job},
    {records::dependencies_prefix, Match::prefix, put_dependencies, nullptr},
    {records::progress_prefix, Match::prefix, put_job_progress, drop_job_progress},
    {records::segment_prefix, Match::prefix, put_segment, nullptr},
    {records::provisioning_request_prefix, Match::prefix, put_provisioning_record, drop_provisioning_record},
    {records::outcome_prefix, Match::prefix, put_outcome, nullptr},
    {records::provisioning_requests_key, Match::whole_key, put_provisioning_requests, nullptr},
    {records::leader_key, Match::whole_key, put_leader, drop_leader},
    {records::term_key, Match::whole_key, put_term, nullptr},
    {records::machine_types_key, Match::whole_key, put_machine_types, nullptr},
    {records::format_key, Match::whole_key, put_format, nullptr},
    {records::category_averages_key, Match::whole_key, put_category_averages, nullptr},
};

void WatchCache::apply_row(const std::string& key, const wire::Json& value, std::uint64_t mod_revision,
                           double now) {
    for (const auto& kind : RecordKinds::all) {
        const auto name = kind.name_in(key);
        if (!name) continue;
        kind.put(*this, {key, *name, value, mod_revision, now});
        return;
    }
}

void WatchCache::apply_drop(const std::string& key) {
    for (const auto& kind : RecordKinds::all) {
        const auto name = kind.name_in(key);
        if (!name) continue;
        if (kind.drop) kind.drop(*this, *name);
        return;
    }
}

}  // namespace pineroad::store
