// The dependencies between live jobs: which jobs are ready, which are cancelled because a job before them
// was, and what priority and deadline a job inherits from the jobs after it. No I/O and no clock.
//
// Every state here follows from durable records alone: a live job's dependencies never change, and a final
// state never does either. So each answer, once positive, stays so, on every controller and after every
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

// The directed graph of live jobs (nodes) and the jobs that they depend on. A job may be named as a
// dependency before it is known itself. Times of day are Unix time in milliseconds.
class DependencyGraph {
   public:
    // Jobs whose state an event changed.
    struct Change {
        std::vector<std::string> ready;      // their last dependency is done
        std::vector<std::string> cancelled;  // a job that they depend on, directly or not, was cancelled
    };

    // Adds a live job. Its dependencies may be live, over or not known yet, in any order. Nothing changes if
    // the job is there already.
    Change add(const JobSpec& spec);
    // Tells the final state of a job. Kept while live jobs depend on it; the first one told counts.
    Change record_outcome(const std::string& id, const JobOutcome& outcome);
    // Removes a live job whose record is gone.
    void remove(const std::string& id);
    // Removes all live jobs, but not the final states that they depend on.
    void clear();
    // Drops final states that no live job depends on, once the live jobs are added again after clear().
    void drop_unreferenced_outcomes();

    // Whether every dependency is known to be done. False for a job that is not live.
    [[nodiscard]] bool is_ready(const std::string& id) const;
    // Whether a job before it was cancelled. The job itself may not have a final record yet.
    [[nodiscard]] bool is_cancelled(const std::string& id) const;
    // Live jobs that are cancelled in this way, by id.
    [[nodiscard]] std::vector<std::string> cancelled() const;
    // When the last dependency was done; nothing without dependencies, or while one is not done.
    [[nodiscard]] std::optional<std::int64_t> ready_since_ms(const std::string& id) const;
    // The highest priority of the job and of all live jobs after it.
    [[nodiscard]] Priority priority(const JobSpec& spec) const;
    // By when the job should be done so that all jobs after it can meet their deadlines; nothing without any.
    [[nodiscard]] std::optional<std::int64_t> deadline_ms(const JobSpec& spec) const;
    // Dependencies of live jobs that are neither live nor known to be over, by id.
    [[nodiscard]] std::vector<std::string> unresolved() const;
    // The same, of one job and of the live jobs before it.
    [[nodiscard]] std::vector<std::string> unresolved_ancestors(const std::string& id) const;
    // Whether its lateness is that of a pipeline: it has jobs before it, or live jobs after it and no
    // deadline of its own.
    [[nodiscard]] bool in_pipeline(const JobSpec& spec) const;

   private:
    // A live job, and what follows for it from the jobs before and after it.
    struct LiveJob {
        std::vector<std::string> dependencies;
        std::size_t pending = 0;          // dependencies that are not known to be done
        std::int64_t ready_since_ms = 0;  // end of the latest dependency that is done
        bool cancelled = false;           // a job before it was cancelled
        Priority own_priority = Priority::low;
        Priority priority = Priority::low;  // its own, or a higher one of a job after it
        std::optional<std::int64_t> own_deadline_ms;
        std::optional<std::int64_t> deadline_ms;  // its own, or the earlier one that jobs after it need
        std::int64_t duration_ms = 0;  // from its start to the start of what comes after, as expected
    };

    // Tells a live job of the final state of one of its dependencies.
    static void apply_outcome(LiveJob& dependent, const JobOutcome& outcome);
    // Enters the job's dependencies, in whatever state each of them is.
    void add_dependencies(const std::string& id, LiveJob& job);
    // Marks every live job after this one as cancelled, and adds it to the change.
    void cancel_dependents(const std::string& id, Change& change);
    // Marks them, and answers with those that were not marked before.
    [[nodiscard]] std::vector<std::string> mark_dependents_cancelled(const std::string& id);
    // Works out anew what these jobs, and all jobs before them, inherit from the jobs after them.
    void update_inherited(const std::vector<std::string>& changed);
    // The same for one job. True if its priority or deadline changed.
    bool update_inherited_of(const std::string& id, LiveJob& job);
    // The live job of this id; null where there is none.
    [[nodiscard]] const LiveJob* find(const std::string& id) const;

    std::map<std::string, LiveJob> live_;
    std::map<std::string, std::set<std::string>> dependents_;  // live jobs, by what they depend on
    std::map<std::string, JobOutcome> outcomes_;               // of jobs in `dependents_`
    std::set<std::string> unresolved_;                         // in `dependents_`, neither live nor over
};

}  // namespace pineroad::model
