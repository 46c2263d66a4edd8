// A job as the leader knows it: what is wanted, what is done, where its tasks are, and what of it is durable.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/placement.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Placements of a job, by task.
using Placements = std::map<std::uint32_t, TaskPlacement>;

// A range of a job's tasks whose state is one entry of a segment. A job that is not sharded has one shard.
struct ProgressShard {
    std::string segment;                // that holds its entry; empty: none does
    std::uint64_t version = 0;          // of the job at the latest change of this shard
    std::uint64_t durable_version = 0;  // the latest version that is durable
    // Whether something of it is not durable yet.
    [[nodiscard]] bool is_changed() const { return version > durable_version; }
};

// Where tasks of the job failed, and when it may be tried again.
struct FailureHistory {
    int count = 0;
    std::set<std::string> machines;  // machines where a task of the job ended in an error
    double retry_at_s = 0;           // none of its tasks is placed before
};

// Where a job stands.
//   active -> finished -> done, and from active or finished to `cancelled` when its user cancels it first; or
//   active -> cancelled_by_dependency -> cancelled, when a job that it depends on was cancelled.
enum class JobPhase {
    active,                   // its tasks run, or wait to be placed
    completing,               // every task is done; final once that is durable
    cancelled_by_dependency,  // it never starts, and its own final record is to be written
    done,                     // done, durably
    cancelled,                // cancelled, durably; tasks of it may still be on machines
};

// A job from its acceptance until its final state is durable and its last task is off its machine.
struct Job {
    std::optional<model::JobSpec> spec;  // nothing: only the progress of a cancelled job is left
    std::string id;
    model::Progress progress;  // its placements stay empty: they are taken from `placements` when written
    Placements placements;
    std::map<std::uint32_t, ProgressShard> shards;
    bool sharded = false;
    // Shards whose tasks stand only in an entry of the whole job. That entry is replaced once they have
    // entries of their own: before, a new leader would miss their placements.
    std::set<std::uint32_t> shards_in_unsharded_entry;
    std::uint64_t mod_revision = 0;       // of the job's own record
    std::uint64_t progress_revision = 0;  // of a progress record of version 0.1; 0: there is none
    std::uint64_t version = 0;            // of its latest change
    JobPhase phase = JobPhase::active;
    double xfactor_at_start = 1;
    std::uint64_t latest_attempt = 0;             // of a gang: the attempt of all its placements
    bool gang_has_run = false;                    // in the present attempt
    std::set<std::string> gang_vacated_machines;  // machines that a member of the present attempt has left
    FailureHistory failures;
    double waiting_since_s = 0;  // the last time that none of its tasks was placed

    // Its final state is durable: nothing of it may start any more.
    [[nodiscard]] bool is_final() const { return phase == JobPhase::done || phase == JobPhase::cancelled; }
    // Its final state is known, and is to be written.
    [[nodiscard]] bool needs_final_record() const {
        return phase == JobPhase::completing || phase == JobPhase::cancelled_by_dependency;
    }
    // Every task is done, whether or not that is durable.
    [[nodiscard]] bool all_tasks_done() const {
        return phase == JobPhase::completing || phase == JobPhase::done;
    }
    // It was cancelled, durably.
    [[nodiscard]] bool is_cancelled() const { return phase == JobPhase::cancelled; }
    // The job is finished if every task is done. Returns whether every task is done.
    bool complete_if_all_tasks_done() {
        if (progress.done_count() < spec->task_count) return false;
        if (phase == JobPhase::active) phase = JobPhase::completing;
        return true;
    }
    // A new attempt of the gang as a whole: each of its tasks is placed anew.
    void begin_gang_attempt() {
        latest_attempt = progress.next_attempt++;
        gang_has_run = false;
        gang_vacated_machines.clear();
    }
    // The last member of the attempt has ended.
    void end_gang_attempt(double now) {
        latest_attempt = 0;
        gang_has_run = false;
        gang_vacated_machines.clear();
        waiting_since_s = now;
    }
    // Its final record was written.
    void apply_final_status(model::FinalStatus status) {
        if (status == model::FinalStatus::cancelled)
            phase = JobPhase::cancelled;
        else if (phase != JobPhase::cancelled)
            phase = JobPhase::done;
    }
    // All its tasks run at the same time, or none.
    [[nodiscard]] bool is_gang() const { return spec && spec->shape == model::Shape::gang; }
};

}  // namespace pineroad::cluster
