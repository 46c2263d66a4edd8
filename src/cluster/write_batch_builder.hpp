// Builds one transaction of the leader within the limits of the store.
#pragma once

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/pending_changes.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/segment_store.hpp"
#include "cluster/slowdown_averages.hpp"
#include "cluster/term_context.hpp"
#include "cluster/write_batch.hpp"
#include "model/model.hpp"
#include "wire/records.hpp"

namespace pineroad::cluster {

// The parts of the cluster state that are written to the store.
struct DurableWritesDependencies {
    const TermContext& context;
    JobTable& jobs;
    MachineTable& machines;
    PendingChanges& pending_changes;
    ProvisioningRequests& provisioning;
    SlowdownAverages& averages;
    SegmentStore& segments;
};

// The limits of one batch.
struct BatchLimits {
    std::size_t changes = 0;
    double value_bytes = 0;  // of a segment, less a margin for growing numbers
    // Whether no batch was rejected yet, so that the announced, lower limits do not apply.
    bool current_limits_in_force = true;

    // Returns the limits for a write of `changes` changes, or of target_batch_changes if that is more, after
    // this many batches of this term were rejected as malformed. The first rejection shows that the announced
    // limits are in force. Each later one shows that the actual limits are lower, and halves the limits.
    static BatchLimits after_rejections(int rejections, std::size_t changes,
                                        const config::Settings& settings);
};

// Builds one batch. More urgent changes are added first, as long as they fit.
class WriteBatchBuilder {
   public:
    // `dependencies` must outlive the builder.
    WriteBatchBuilder(const DurableWritesDependencies& dependencies, const BatchLimits& limits)
        : dependencies_(dependencies), limits_(limits) {}

    // Adds everything that must be written and fits, and returns the batch. A batch without changes means
    // that there is nothing to write, but it may still name jobs that have no record in the store.
    WriteBatch build();

   private:
    // Adds the record of machine types.
    void add_machine_types();
    // Adds the record of open provisioning requests.
    void add_provisioning_requests();
    // Adds segments with the entries of changed shards, and tombstones.
    void add_segments();
    // Adds the entries of the changed shards that starts wait for or, if `awaited_by_starts` is false, of the
    // other changed shards. Returns false if not all of them fit.
    bool add_changed_shards(bool awaited_by_starts);
    // Adds the entry of one shard. Returns false if the batch is full.
    bool add_shard(Job& job, std::uint32_t shard_number, const ProgressShard& shard);
    // Adds tombstones for entries that older segments hold for finished jobs, as far as the open segment has
    // space.
    void add_tombstones();
    // Adds the open segment to the transaction.
    void close_segment();
    // Adds the final states of jobs that are completing or cancelled by a dependency, and removes the records
    // that are left of finished jobs.
    void add_finished_jobs();
    // Adds these changes for one job, none if it is active. Returns false if they do not fit.
    bool add_finished_job(Job& job);
    // Adds the final state of a job. Returns false if it does not fit.
    bool add_outcome(Job& job, model::FinalStatus status);
    // Adds the record of slowdown averages.
    void add_category_averages();
    // Adds the condition that the leader record is unchanged, so that a former leader cannot commit.
    void add_leader_condition();

    // Returns whether the shard holds placements that are not durable.
    [[nodiscard]] static bool is_awaited_by_starts(const Job& job, std::uint32_t shard_number,
                                                   const ProgressShard& shard);
    // Returns whether this many more changes and bytes fit into the transaction.
    [[nodiscard]] bool fits(std::size_t changes, std::size_t bytes) const;
    // Returns whether an entry of this size fits into one value; logs an error if not.
    [[nodiscard]] bool fits_in_value(const wire::records::EntryName& entry, std::size_t bytes) const;
    // Adds a write of the value, on the condition that the key still has this revision; 0: the key does not
    // exist.
    void put(const std::string& key, wire::Json value, std::uint64_t mod_revision, std::size_t bytes);
    // Adds a removal of the key, on the condition that it still has this revision.
    void remove(const std::string& key, std::uint64_t mod_revision);

    const DurableWritesDependencies& dependencies_;
    BatchLimits limits_;
    WriteBatch batch_;
    std::size_t bytes_ = 0;
    // The segment that is being filled.
    boost::json::object open_segment_;
    std::size_t open_segment_bytes_ = 0;
    std::vector<wire::records::EntryName> open_segment_entries_;
    std::vector<std::string> reserved_segments_;
};

}  // namespace pineroad::cluster
