// What of the cluster state is made durable, batch by batch, and what a commit means for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/write_batch.hpp"
#include "cluster/write_batch_builder.hpp"

namespace pineroad::cluster {

// Builds batches and applies their commits. One batch is under way at a time.
class DurableWrites {
   public:
    // Everything that the state refers to must outlive this object.
    explicit DurableWrites(const DurableState& state) : state_(state) {}

    // Whether a batch is to be written now.
    [[nodiscard]] bool is_due() const;
    // The next batch of at most so many changes, or nothing if nothing is to be written.
    std::optional<WriteBatch> next_batch(std::size_t changes);
    // The batch was committed at this revision and time of day.
    void apply_commit(const WriteBatch& batch, std::uint64_t revision, std::int64_t wall_ms);
    // The store rejected a batch as malformed: its limits are lower than announced. What follows is smaller.
    // False: that has not helped so far.
    bool record_rejection();
    // Machines with starts that became durable since the last call. A machine may be named several times.
    std::vector<std::string> take_machines_with_durable_starts();

   private:
    // Progress records of version 0.1 that the batch removed.
    void apply_progress_removals(const WriteBatch& batch);
    // The final state of a job is durable.
    void apply_outcome(const FinishedJob& finished, std::int64_t wall_ms);
    // Removes a job that is over and has no task left.
    void remove_if_over(const std::string& id);

    DurableState state_;
    int rejections_ = 0;
    std::vector<std::string> machines_with_durable_starts_;
};

}  // namespace pineroad::cluster
