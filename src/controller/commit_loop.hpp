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

class CommitLoop {
   public:
    // All of these must outlive the object.
    CommitLoop(const config::Settings& settings, store::StoreClient& store,
               store::LinearizableRead& linearizable_read, store::WatchCache& watch_cache);
    // Commits what is due until the term is over.
    net::awaitable<void> run(std::shared_ptr<cluster::LeaderTerm> leader);

   private:
    // What an answer of the store means for the batch.
    enum class Settlement {
        settled,  // it was applied, or never will be; or the term is over
        retry     // the same transaction is to be sent again
    };
    // Whether a batch of which a copy may have been applied was applied.
    enum class ReadBack { applied, not_applied, unavailable };

    net::awaitable<void> commit(std::shared_ptr<cluster::LeaderTerm> leader,
                                const cluster::WriteBatch& batch);
    net::awaitable<Settlement> settle(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch,
                                      const store::CommitResult& result, bool uncertain);
    net::awaitable<Settlement> settle_conflict(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch,
                                               const std::string& answer, bool uncertain);
    net::awaitable<ReadBack> read_back(const cluster::WriteBatch& batch, std::uint64_t& revision);
    void handle_malformed(cluster::LeaderTerm& leader, const std::string& answer, bool uncertain);
    void apply(cluster::LeaderTerm& leader, const cluster::WriteBatch& batch, std::uint64_t revision);

    const config::Settings& settings_;
    store::StoreClient& store_;
    store::LinearizableRead& linearizable_read_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::controller
