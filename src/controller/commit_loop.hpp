// Commits the leader's state to the store, one compare-and-swap transaction at a time. Each is conditional on
// the leader record and on the revision of every record that it changes, so that the store rejects a late
// copy.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "cluster/cluster_state.hpp"
#include "cluster/leader_term.hpp"
#include "config/settings.hpp"
#include "net/http.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::controller {

// Commits write batches, one at a time.
class CommitLoop {
   public:
    // All of these must outlive the object.
    CommitLoop(const config::Settings& settings, store::StoreClient& store,
               store::LinearizableRead& linearizable_read, store::WatchCache& watch_cache);
    // Commits pending changes until the term has ended.
    net::awaitable<void> run(std::shared_ptr<cluster::LeaderTerm> leader);

   private:
    // How to continue after a response of the store to a batch.
    enum class RetryDecision {
        done,  // the batch was applied or never will be, or the term has ended
        retry  // the same transaction must be sent again
    };
    // Whether a batch of uncertain outcome was applied.
    enum class BatchState { applied, not_applied, undetermined };
    // Result of reading back one record of a batch.
    struct ReadBackResult {
        BatchState state = BatchState::undetermined;
        std::uint64_t revision = 0;  // of the record if the batch was applied; 0 if the batch removed it
    };

    // Sends a batch until its outcome is known.
    net::awaitable<void> commit(std::shared_ptr<cluster::LeaderTerm> leader,
                                const cluster::WriteBatch& batch);
    // Handles the response to a batch. `uncertain` means that an earlier copy of the batch may have been
    // applied.
    net::awaitable<RetryDecision> handle_result(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch,
                                                const store::CommitResult& result, bool uncertain);
    // Handles a response that reports failed conditions.
    net::awaitable<RetryDecision> handle_conflict(cluster::LeaderTerm& leader,
                                                  const cluster::WriteBatch& batch,
                                                  const std::string& response_body, bool uncertain);
    // Determines whether a batch was applied, by reading one of its records.
    net::awaitable<ReadBackResult> read_back(const cluster::WriteBatch& batch);
    // Handles a response that rejects the batch as malformed.
    void handle_malformed(cluster::LeaderTerm& leader, const std::string& response_body, bool uncertain);
    // Applies a committed batch to the cluster state and records the outcomes of jobs in the watch cache.
    void apply(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch, std::uint64_t revision);

    const config::Settings& settings_;
    store::StoreClient& store_;
    store::LinearizableRead& linearizable_read_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::controller
