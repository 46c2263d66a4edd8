// The dependencies between live jobs: which jobs are ready, which are cancelled because a job before them
// was, and what priority and deadline a job inherits from the jobs after it. Pure data, no I/O and no clock.
//
// Every state here follows from durable records alone: a live job's dependencies never change, and a final
// state never does either. So each answer, once positive, stays so, on every node and after every restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/model.hpp"

namespace pineroad::model {

class DependencyGraph {
   public:
    // Jobs whose state an event changed.
    struct Change {
        std::vector<std::string> ready;      // their last dependency is done
        std::vector<std::string> cancelled;  // a job that they depend on, directly or not, was cancelled
    };

    // A live job. Its dependencies may be live, over or not known yet, in any order.
    Change add(const JobSpec& spec);
    // The final state of a job became known. Kept while live jobs depend on it.
    Change end(const std::string& id, const JobOutcome& ending);
    // The job's live record is gone.
    void remove(const std::string& id);
    // Forgets the live jobs, but not the final states that they depend on.
    void clear();
    // Forgets final states that no live job depends on, once the live jobs are added again.
    void forget_unneeded();

    // Whether every dependency is known to be done. False for a job that is not live.
    [[nodiscard]] bool is_ready(const std::string& id) const;
    // Whether a job before it was cancelled. The job itself may not have a final record yet.
    [[nodiscard]] bool is_cancelled(const std::string& id) const;
    // Live jobs that are cancelled in this way.
    [[nodiscard]] std::vector<std::string> cancelled() const;
    // When the last dependency was done, by the time of day; nothing without dependencies.
    [[nodiscard]] std::optional<std::int64_t> ready_since_ms(const std::string& id) const;
    // The highest priority of the job and of all live jobs after it.
    [[nodiscard]] Priority priority(const JobSpec& spec) const;
    // By when the job should be done, by the time of day, so that all after it can meet their deadlines.
    [[nodiscard]] std::optional<std::int64_t> deadline_ms(const JobSpec& spec) const;
    // Dependencies of live jobs that are neither live nor known to be over.
    [[nodiscard]] std::vector<std::string> unresolved() const;
    // The same, of one job and of the live jobs before it.
    [[nodiscard]] std::vector<std::string> unresolved_before(const std::string& id) const;
    // Whether its lateness is that of a pipeline: it has jobs before it, or live jobs after it and no
    // deadline of its own.
    [[nodiscard]] bool in_pipeline(const model::JobSpec& spec) const;

   private:
    struct Controller {
        std::vector<std::string> dependencies;
        std::size_t pending = 0;  // dependencies that are not known to be done
        std::int64_t ready_since_ms = 0;
        bool cancelled = false;
        Priority own_priority = Priority::low, priority = Priority::low;
        std::optional<std::int64_t> own_deadline_ms, deadline_ms;
        std::int64_t duration_ms = 0;  // from its start to the start of what comes after, as expected
    };
    static void settle(Controller& dependent, const JobOutcome& ending);
    void cancel_after(const std::string& id, Change& change);
    // Works out the inherited priority and deadline of these jobs and of all before them.
    void inherit(const std::vector<std::string>& changed);
    bool inherit_one(const std::string& id, Controller& node);
    [[nodiscard]] const Controller* find(const std::string& id) const;

    std::map<std::string, Controller> live_;
    std::map<std::string, std::set<std::string>> dependents_;  // live jobs, by what they depend on
    std::map<std::string, JobOutcome> outcomes_;               // of jobs in `dependents_`
    std::set<std::string> open_;                               // in `dependents_`, neither live nor over
};

}  // namespace pineroad::model
