// Which jobs have changes that are not durable yet, and when these are to be written.
#pragma once

#include <set>
#include <string>

#include "config/constants.hpp"

namespace pineroad::cluster {

// Owns the set of changed jobs and the time of the next write.
class PendingChanges {
   public:
    // The job's state is newer than what is durable.
    void mark(const std::string& job, double now) {
        if (jobs_.empty()) changed_since_s_ = now;
        jobs_.insert(job);
    }
    // Everything of the job is durable, or the job is removed.
    void clear(const std::string& job) { jobs_.erase(job); }
    // Changed jobs by name.
    [[nodiscard]] const std::set<std::string>& jobs() const { return jobs_; }

    // Something waits for the next commit: it is not deferred.
    void request_commit() { commit_requested_ = true; }
    // A batch is built now: it serves every request so far.
    void begin_batch() { commit_requested_ = false; }
    // A batch was committed: what it left is deferred anew.
    void restart_deferral(double now) {
        if (!jobs_.empty()) changed_since_s_ = now;
    }
    // Whether a batch is to be written now.
    [[nodiscard]] bool is_write_due(double now) const {
        return commit_requested_ || (!jobs_.empty() && now - changed_since_s_ >= constants::deferred_write_s);
    }

   private:
    std::set<std::string> jobs_;
    double changed_since_s_ = 0;
    bool commit_requested_ = false;
};

}  // namespace pineroad::cluster
