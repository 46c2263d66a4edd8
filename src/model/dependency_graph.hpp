// The dependencies between live jobs: determines which jobs are ready, which are cancelled because a
// dependency was cancelled, and which priority and deadline a job inherits from its dependents. No I/O and no
// clock.
//
// All state is derived from durable records: the dependencies of a live job and the final state of a job
// never change. A job that is ready or cancelled therefore remains so, on every controller and after every
// restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/job.hpp"
#include "model/progress.hpp"

namespace pineroad::model {

// The directed graph of live jobs and their dependencies. A job is live from its acceptance until its record
// is deleted, when it is done or cancelled. A job may occur as a dependency before it is added itself.
// "Ancestors" are the direct and transitive dependencies of a job. Times of day are Unix time in
// milliseconds.
class DependencyGraph {
   public:
    // Jobs whose state was changed by an update of the graph.
    struct Change {
        std::vector<std::string> ready;      // all dependencies are now done
        std::vector<std::string> cancelled;  // an ancestor was cancelled
    };

    // Adds a live job. Each of its dependencies may be live, finished or not yet known. Does nothing if the
    // job has already been added.
    Change add(const JobSpec& spec);
    // Records the final state of a job, which is kept while live jobs depend on it. Only the first call for a
    // job has an effect.
    Change record_outcome(const std::string& id, const JobOutcome& outcome);
    // Removes a live job whose record was deleted.
    void remove(const std::string& id);
    // Removes all live jobs, but keeps the final states of their dependencies.
    void clear();
    // Drops final states that no live job depends on. To be called when the live jobs have been added again
    // after clear().
    void drop_unreferenced_outcomes();

    // Returns whether all dependencies are known to be done. False for a job that is not live.
    [[nodiscard]] bool is_ready(const std::string& id) const;
    // Returns whether an ancestor of the job was cancelled. The job itself may not have a final record yet.
    [[nodiscard]] bool is_cancelled(const std::string& id) const;
    // Returns the ids of all live jobs for which is_cancelled() holds, in ascending order.
    [[nodiscard]] std::vector<std::string> cancelled() const;
    // Returns when the last dependency was done; nothing if the job has no dependencies or one is not done.
    [[nodiscard]] std::optional<std::int64_t> ready_since_ms(const std::string& id) const;
    // Returns the highest priority among the job and its direct and transitive dependents.
    [[nodiscard]] Priority priority(const JobSpec& spec) const;
    // Returns by when the job should be done so that it and its direct and transitive dependents can meet
    // their deadlines; nothing if none of them has a deadline.
    [[nodiscard]] std::optional<std::int64_t> deadline_ms(const JobSpec& spec) const;
    // Returns the ids of the dependencies of live jobs that are neither live nor known to be finished, in
    // ascending order.
    [[nodiscard]] std::vector<std::string> unresolved() const;
    // Returns the same for the dependencies of one job and of its live ancestors.
    [[nodiscard]] std::vector<std::string> unresolved_ancestors(const std::string& id) const;
    // Returns whether a delay of the job delays a pipeline: it has dependencies, or it has live dependents
    // and no deadline of its own.
    [[nodiscard]] bool in_pipeline(const JobSpec& spec) const;

   private:
    // A live job and the state derived from its ancestors and dependents.
    struct LiveJob {
        std::vector<std::string> dependencies;
        std::size_t pending_dependencies = 0;  // number of dependencies that are not known to be done
        std::int64_t ready_since_ms = 0;       // end of the dependency that was done last
        bool cancelled = false;                // an ancestor was cancelled
        Priority own_priority = Priority::low;
        Priority priority = Priority::low;  // its own or a higher, inherited one
        std::optional<std::int64_t> own_deadline_ms;
        std::optional<std::int64_t> deadline_ms;  // its own or an earlier, inherited one
        std::int64_t duration_ms = 0;  // estimated time from its start to the start of its dependents
    };

    // Updates a live job with the final state of one of its dependencies.
    static void apply_outcome(LiveJob& dependent, const JobOutcome& outcome);
    // Adds the edges to the job's dependencies, and applies their current states to the job.
    void add_dependencies(const std::string& id, LiveJob& job);
    // Marks all direct and transitive dependents as cancelled, and adds those newly marked to the change.
    void cancel_dependents(const std::string& id, Change& change);
    // Marks all direct and transitive dependents as cancelled, and returns those newly marked.
    [[nodiscard]] std::vector<std::string> mark_dependents_cancelled(const std::string& id);
    // Recomputes the inherited priorities and deadlines of these jobs and of their ancestors.
    void update_inherited(const std::vector<std::string>& changed);
    // Recomputes the inherited priority and deadline of one job. Returns whether either changed.
    bool update_inherited_of(const std::string& id, LiveJob& job);
    // Returns the live job with this id, or nullptr if there is none.
    [[nodiscard]] const LiveJob* find(const std::string& id) const;

    std::map<std::string, LiveJob> live_;
    std::map<std::string, std::set<std::string>> dependents_;  // ids of live jobs by dependency
    std::map<std::string, JobOutcome> outcomes_;               // of the keys of dependents_
    std::set<std::string> unresolved_;  // keys of dependents_ that are neither live nor finished
};

}  // namespace pineroad::model
