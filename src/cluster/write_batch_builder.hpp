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

// The parts of the cluster state that are made durable.
struct DurableState {
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
    double value_bytes = 0;           // of a segment, with room left for numbers that grow
    bool current_limits_hold = true;  // no batch was rejected: the limits in force are as announced

    // For a write of at most `changes` changes, after so many batches of this term were rejected as
    // malformed. The first rejection tells that the announced limits are in force; later ones, that these are
    // lower.
    static BatchLimits after_rejections(int rejections, std::size_t changes,
                                        const config::Settings& settings);
};

// One batch while it is built: what is more urgent is added first, as long as it fits.
class WriteBatchBuilder {
   public:
    // The state must outlive the builder.
    WriteBatchBuilder(const DurableState& state, const BatchLimits& limits)
        : state_(state), limits_(limits) {}

    // Adds everything that is to be written and fits, and returns the batch. It has no changes if nothing is
    // to be written; it may then still name jobs that left no trace in the store.
    WriteBatch build();

   private:
    // The record of machine types.
    void add_machine_types();
    // The record of open provisioning requests.
    void add_provisioning_requests();
    // Segments with the entries of changed shards, and tombstones.
    void add_segments();
    // Entries of shards that starts wait for, or of the others. False: not all of them fit.
    bool add_changed_shards(bool awaited_by_starts);
    // The entry of one shard. False: the batch is full.
    bool add_shard(Job& job, std::uint32_t shard_number, const ProgressShard& shard);
    // Tombstones, as far as the open segment has space for them.
    void add_tombstones();
    // Adds the open segment to the transaction.
    void close_segment();
    // The final states of jobs that are done or cancelled by a dependency, and removals.
    void add_finished_jobs();
    // The same of one job. False: it does not fit.
    bool add_finished_job(Job& job);
    // The final state of a job. False: it does not fit.
    bool add_outcome(Job& job, model::FinalStatus status);
    // The record of slowdown averages.
    void add_category_averages();
    // Nothing is applied once the leadership key has changed.
    void add_leader_condition();

    // Whether the shard holds placements that are not durable.
    [[nodiscard]] static bool is_awaited_by_starts(const Job& job, std::uint32_t shard_number,
                                                   const ProgressShard& shard);
    // Whether so many more changes and bytes fit into the transaction.
    [[nodiscard]] bool fits(std::size_t changes, std::size_t bytes) const;
    // Whether an entry of this size fits into one value.
    [[nodiscard]] bool fits_value(const wire::records::EntryName& entry, std::size_t bytes) const;
    // Writes the value on the condition of the present revision; 0: there is none.
    void put(const std::string& key, wire::Json value, std::uint64_t mod_revision, std::size_t bytes);
    // Removes the key on the condition of its present revision.
    void remove(const std::string& key, std::uint64_t mod_revision);

    const DurableState& state_;
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
