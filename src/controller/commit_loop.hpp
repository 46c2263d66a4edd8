// Commits the leader's state to the store: one compare-and-swap transaction at a time, each conditional on
// the leader record and on every record's own revision, so that a copy applied late finds them changed.
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

// Commits write batches, one after the other.
class CommitLoop {
   public:
    // All of these must outlive the object.
    CommitLoop(const config::Settings& settings, store::StoreClient& store,
               store::LinearizableRead& linearizable_read, store::WatchCache& watch_cache);
    // Commits what is due until the term is over.
    net::awaitable<void> run(std::shared_ptr<cluster::LeaderTerm> leader);

   private:
    // What an answer of the store means for the batch.
    enum class RetryDecision {
        done,  // it was applied, or never will be; or the term is over
        retry  // the same transaction is to be sent again
    };
    // Whether a batch of which a copy may have been applied was applied.
    enum class BatchState { applied, not_applied, undetermined };
    // What reading one of its records back told.
    struct ReadBackResult {
        BatchState state = BatchState::undetermined;
        std::uint64_t revision = 0;  // of the record, if applied; 0: it was removed
    };

    // Sends a batch until it is settled.
    net::awaitable<void> commit(std::shared_ptr<cluster::LeaderTerm> leader,
                                const cluster::WriteBatch& batch);
    // Acts on the answer to a batch. `uncertain`: an earlier copy may have been applied.
    net::awaitable<RetryDecision> handle_result(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch,
                                                const store::CommitResult& result, bool uncertain);
    // Acts on an answer by which a condition did not hold.
    net::awaitable<RetryDecision> handle_conflict(cluster::LeaderTerm& leader,
                                                  const cluster::WriteBatch& batch, const std::string& answer,
                                                  bool uncertain);
    // Finds out whether a batch was applied.
    net::awaitable<ReadBackResult> read_back(const cluster::WriteBatch& batch);
    // Acts on an answer by which the batch is malformed.
    void handle_malformed(cluster::LeaderTerm& leader, const std::string& answer, bool uncertain);
    // The batch is durable.
    void apply(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch, std::uint64_t revision);

    const config::Settings& settings_;
    store::StoreClient& store_;
    store::LinearizableRead& linearizable_read_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::controller
