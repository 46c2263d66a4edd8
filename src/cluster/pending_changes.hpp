// Tracks the jobs with changes that are not durable yet, and when to write them.
#pragma once

#include <set>
#include <string>

#include "config/constants.hpp"

namespace pineroad::cluster {

// Owns the set of changed jobs and the time of the next write.
class PendingChanges {
   public:
    // Records that the job's state is newer than its durable state.
    void mark_changed(const std::string& job, double now) {
        if (jobs_.empty()) changed_since_s_ = now;
        jobs_.insert(job);
    }
    // Removes the job from the changed jobs: all its changes are durable, or the job was removed.
    void remove(const std::string& job) { jobs_.erase(job); }
    // Returns the ids of the changed jobs.
    [[nodiscard]] const std::set<std::string>& jobs() const { return jobs_; }

    // Requests a commit without the usual deferral.
    void request_commit() { commit_requested_ = true; }
    // Marks the start of a batch, which satisfies all commit requests so far.
    void begin_batch() { commit_requested_ = false; }
    // Restarts the deferral of the remaining changes after a batch was committed.
    void restart_deferral(double now) {
        if (!jobs_.empty()) changed_since_s_ = now;
    }
    // Returns whether a batch must be written now.
    [[nodiscard]] bool is_write_due(double now) const {
        return commit_requested_ || (!jobs_.empty() && now - changed_since_s_ >= constants::deferred_write_s);
    }

   private:
    std::set<std::string> jobs_;
    double changed_since_s_ = 0;
    bool commit_requested_ = false;
};

}  // namespace pineroad::cluster
