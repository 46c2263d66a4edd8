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

// Owns the jobs and their durable versions, and refers to the dependencies between them.
class JobTable {
   public:
    // Both arguments must outlive the table.
    JobTable(const TermContext& context, PendingChanges& pending_changes)
        : context_(context), pending_changes_(pending_changes) {}
    // Not copyable: placements and machines refer to its jobs.
    JobTable(const JobTable&) = delete;
    JobTable& operator=(const JobTable&) = delete;

    // Returns all jobs, by id.
    [[nodiscard]] const std::map<std::string, Job>& all() const { return jobs_; }
    // Returns the job, or nullptr if it is unknown.
    [[nodiscard]] Job* find(const std::string& id);
    // Returns the job, or nullptr if it is unknown.
    [[nodiscard]] const Job* find(const std::string& id) const;
    // Returns a job that must exist.
    [[nodiscard]] Job& at(const std::string& id) { return jobs_.at(id); }
    // Returns the job. Adds it without a specification if it is unknown.
    Job& find_or_add(const std::string& id);
    // Adds an accepted job with the mod revision of its record. Does nothing if its specification is known.
    void add(const model::JobSpec& spec, std::uint64_t mod_revision, double now);
    // Removes a job, which must have no placements.
    void remove(const std::string& id);

    // Sets the dependencies between jobs; the graph must outlive the table.
    void set_dependencies(const model::DependencyGraph& dependencies) { dependencies_ = &dependencies; }
    // Returns the dependencies between jobs, an empty graph until they are set.
    [[nodiscard]] const model::DependencyGraph& dependencies() const { return *dependencies_; }
    // Returns whether tasks of the job may start: it is accepted and active, and all its dependencies are
    // done. Every start goes through this check.
    [[nodiscard]] bool may_run(const Job& job) const;
    // Returns the time of day since which the job has waited to start. For a job with dependencies this is
    // when the last of them was done, since until then it could not start.
    [[nodiscard]] std::int64_t waiting_since_ms(const Job& job) const;

    // Records that the state of the task, or of the whole job, changed and must be written.
    void mark_changed(Job& job, std::uint32_t task = 0);
    // Allows large jobs to be written in shards, once every controller reads that format.
    void allow_sharding();
    // Returns whether a job with this specification is written in shards.
    [[nodiscard]] bool may_shard(const model::JobSpec& spec) const;
    // Continues a split into shards that an earlier term began: marks the shards that have no entry of their
    // own yet as changed.
    void resume_sharding(Job& job);
    // Records that a version of a job, or of one of its shards, became durable. Returns the machines of the
    // placements that became durable with it.
    std::vector<std::string> apply_commit(const WrittenShard& written);

   private:
    // Starts writing the job in shards.
    void split_into_shards(Job& job);

    const TermContext& context_;
    PendingChanges& pending_changes_;
    std::map<std::string, Job> jobs_;
    const model::DependencyGraph no_dependencies_;
    const model::DependencyGraph* dependencies_ = &no_dependencies_;
    bool sharding_allowed_ = false;
};

}  // namespace pineroad::cluster
