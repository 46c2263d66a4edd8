// Writes the cluster state to the store in batches and applies their commits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/write_batch.hpp"
#include "cluster/write_batch_builder.hpp"

namespace pineroad::cluster {

// Builds batches and applies their commits. At most one batch is in flight.
class DurableWrites {
   public:
    // Everything that `dependencies` refers to must outlive this object.
    explicit DurableWrites(const DurableWritesDependencies& dependencies) : dependencies_(dependencies) {}

    // Returns whether a batch must be written now.
    [[nodiscard]] bool is_due() const;
    // Returns the next batch, or nothing if there is nothing to write. The batch is limited to `changes`
    // changes, or to target_batch_changes if that is more.
    std::optional<WriteBatch> next_batch(std::size_t changes);
    // Applies the commit of the batch at this revision and time of day.
    void apply_commit(const WriteBatch& batch, std::uint64_t revision, std::int64_t wall_ms);
    // Records that the store rejected a batch as malformed: its limits are lower than announced, and later
    // batches are smaller. Returns false if too many batches were rejected.
    bool record_rejection();
    // Returns the machines with placements that became durable since the last call. A machine may occur
    // several times.
    std::vector<std::string> take_machines_with_durable_placements();

   private:
    // Records that the progress records of version 0.1 that the batch removed no longer exist.
    void apply_legacy_progress_removals(const WriteBatch& batch);
    // Applies the final state of a job, which is now durable.
    void apply_outcome(const FinishedJob& finished, std::int64_t wall_ms);
    // Removes the job if it is finished, has no tasks left, and has no progress record of version 0.1.
    void remove_if_finished(const std::string& id);

    DurableWritesDependencies dependencies_;
    int rejections_ = 0;
    std::vector<std::string> machines_with_durable_placements_;
};

}  // namespace pineroad::cluster
