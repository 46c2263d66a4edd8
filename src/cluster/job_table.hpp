// The jobs of a term.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/job.hpp"
#include "cluster/pending_changes.hpp"
#include "cluster/term_context.hpp"
#include "cluster/write_batch.hpp"
#include "model/dependency_graph.hpp"

namespace pineroad::cluster {

// Owns the jobs, the dependencies between them, and which version of each is durable.
class JobTable {
   public:
    // Both arguments must outlive the table.
    JobTable(const TermContext& context, PendingChanges& pending_changes)
        : context_(context), pending_changes_(pending_changes) {}
    // Placements and machines refer to its jobs.
    JobTable(const JobTable&) = delete;
    JobTable& operator=(const JobTable&) = delete;

    // All jobs, by name.
    [[nodiscard]] const std::map<std::string, Job>& all() const { return jobs_; }
    // The job, or nullptr.
    [[nodiscard]] Job* find(const std::string& id);
    // The job, or nullptr.
    [[nodiscard]] const Job* find(const std::string& id) const;
    // A job that exists.
    [[nodiscard]] Job& at(const std::string& id) { return jobs_.at(id); }
    // The job, added without a specification if it was not known.
    Job& find_or_add(const std::string& id);
    // An accepted job with the revision of its record. Nothing changes if it was known.
    void add(const model::JobSpec& spec, std::uint64_t mod_revision, double now);
    // Forgets a job without placements.
    void remove(const std::string& id);

    // The dependencies between jobs; the graph must outlive the table.
    void set_dependencies(const model::DependencyGraph& dependencies) { dependencies_ = &dependencies; }
    // The dependencies between jobs; none before they were set.
    [[nodiscard]] const model::DependencyGraph& dependencies() const { return *dependencies_; }
    // The one check before every start: accepted, not over, and all that it depends on is done.
    [[nodiscard]] bool may_run(const Job& job) const;
    // Since when the job waits to be started, by the time of day. A job that waits for others has not been
    // passed over: its wait counts from when the last of them was done.
    [[nodiscard]] std::int64_t waiting_since_ms(const Job& job) const;

    // The state of the task, or of the job as a whole, changed and is to be written.
    void mark_changed(Job& job, std::uint32_t task = 0);
    // Large jobs may be written in shards: every controller reads that format.
    void allow_sharding();
    // Whether such a job is written in shards.
    [[nodiscard]] bool may_shard(const model::JobSpec& spec) const;
    // An earlier term was about to replace an entry of the whole job, and had written some shards: the rest
    // is to be written.
    void resume_sharding(Job& job);
    // A version of a job, or of one of its shards, became durable. Returns the machines of placements that
    // became durable with it.
    std::vector<std::string> apply_commit(const WrittenShard& written);

   private:
    // The job is written in shards from now on.
    void split_into_shards(Job& job);

    const TermContext& context_;
    PendingChanges& pending_changes_;
    std::map<std::string, Job> jobs_;
    const model::DependencyGraph no_dependencies_;
    const model::DependencyGraph* dependencies_ = &no_dependencies_;
    bool sharding_allowed_ = false;
};

}  // namespace pineroad::cluster
