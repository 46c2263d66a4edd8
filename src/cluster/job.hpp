// A job in the leader's cluster state: its specification, progress, placements and durable versions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/placement.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Placements of a job, by task index.
using Placements = std::map<std::uint32_t, TaskPlacement>;

// A range of a job's tasks whose state is stored as one entry of a segment. A job that is not sharded has one
// shard.
struct ProgressShard {
    std::string segment;                // segment that holds its entry; empty if none does
    std::uint64_t version = 0;          // job version at the latest change of this shard
    std::uint64_t durable_version = 0;  // latest durable version
    // Returns whether the shard has changes that are not durable yet.
    [[nodiscard]] bool is_changed() const { return version > durable_version; }
};

// The failures of a job's tasks, and when the job may be retried.
struct FailureHistory {
    int count = 0;
    std::set<std::string> machines;  // machines where a task of the job ended in an error
    double retry_at_s = 0;           // no task of the job is placed before this time
};

// The phase of a job:
//   active -> completing -> done; `cancelled` may follow active or completing when the user cancels the job;
//   active -> cancelled_by_dependency -> cancelled, when a job that this one depends on was cancelled.
enum class JobPhase {
    active,                   // its tasks run or wait to be placed
    completing,               // every task is done; becomes `done` once its final record is durable
    cancelled_by_dependency,  // it never starts; its final record must be written
    done,                     // the final record `done` is durable
    cancelled,                // the cancellation is durable; tasks may still be on machines
};

// A job from its acceptance until its final state is durable and its last task has left its machine.
struct Job {
    std::optional<model::JobSpec> spec;  // nothing if only the progress of a cancelled job is left
    std::string id;
    model::Progress progress;  // without placements: these are copied from `placements` when written
    Placements placements;
    std::map<std::uint32_t, ProgressShard> shards;
    bool sharded = false;
    // Shards whose tasks are stored only in the entry of the whole job. That entry is replaced only after
    // these shards have their own entries: otherwise a new leader would miss their placements.
    std::set<std::uint32_t> shards_in_unsharded_entry;
    std::uint64_t mod_revision = 0;       // mod revision of the job's own record
    std::uint64_t progress_revision = 0;  // mod revision of a version 0.1 progress record; 0 if none
    std::uint64_t version = 0;            // version of its latest change
    JobPhase phase = JobPhase::active;
    double xfactor_at_start = 1;
    std::uint64_t latest_attempt = 0;             // for a gang: the attempt of all its placements
    bool gang_has_run = false;                    // whether a task has run in the current attempt
    std::set<std::string> gang_vacated_machines;  // machines that a member of the current attempt has left
    FailureHistory failures;
    double waiting_since_s = 0;  // when it was added in this term, or when the last attempt of its gang ended

    // Returns whether its final state is durable. No task of a finished job may start.
    [[nodiscard]] bool is_finished() const { return phase == JobPhase::done || phase == JobPhase::cancelled; }
    // Returns whether its final state is known but its final record is not durable yet.
    [[nodiscard]] bool needs_final_record() const {
        return phase == JobPhase::completing || phase == JobPhase::cancelled_by_dependency;
    }
    // Returns whether every task is done, durably or not.
    [[nodiscard]] bool all_tasks_done() const {
        return phase == JobPhase::completing || phase == JobPhase::done;
    }
    // Returns whether its cancellation is durable.
    [[nodiscard]] bool is_cancelled() const { return phase == JobPhase::cancelled; }
    // Starts the completion of an active job if every task is done. Returns whether every task is done.
    bool complete_if_all_tasks_done() {
        const auto all_tasks = boost::icl::discrete_interval<std::uint32_t>::right_open(0, spec->task_count);
        if (!boost::icl::contains(progress.done, all_tasks)) return false;
        if (phase == JobPhase::active) phase = JobPhase::completing;
        return true;
    }
    // Begins a new attempt of the whole gang, in which every task is placed again.
    void begin_gang_attempt() {
        latest_attempt = progress.next_attempt++;
        gang_has_run = false;
        gang_vacated_machines.clear();
    }
    // Ends the current attempt after its last member has ended.
    void end_gang_attempt(double now) {
        latest_attempt = 0;
        gang_has_run = false;
        gang_vacated_machines.clear();
        waiting_since_s = now;
    }
    // Applies a durable final record.
    void apply_final_status(model::FinalStatus status) {
        if (status == model::FinalStatus::cancelled)
            phase = JobPhase::cancelled;
        else if (phase != JobPhase::cancelled)
            phase = JobPhase::done;
    }
    // Returns whether the job is a gang: all its tasks run at the same time, or none.
    [[nodiscard]] bool is_gang() const { return spec && spec->shape == model::Shape::gang; }
};

}  // namespace pineroad::cluster
