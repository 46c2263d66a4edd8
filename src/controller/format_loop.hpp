// Records in the store which controllers read the current record format, until all of them do.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "cluster/leader_term.hpp"
#include "net/http.hpp"
#include "peers/record_format_tracker.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::controller {

// Maintains the record of the controllers that read the current format.
class FormatLoop {
   public:
    // All of these must outlive the object.
    FormatLoop(store::StoreClient& store, store::LinearizableRead& linearizable_read,
               const store::WatchCache& watch_cache, const peers::RecordFormatTracker& record_format_tracker);
    // Runs until all controllers read the format or the term has ended. Returns immediately if this process
    // itself does not read it.
    net::awaitable<void> run(std::shared_ptr<cluster::LeaderTerm> leader);

   private:
    // Writes the given readers to the store, then brings the watch cache up to date.
    net::awaitable<void> record_readers(const leadership::Term& term, std::set<std::string> readers);

    store::StoreClient& store_;
    store::LinearizableRead& linearizable_read_;
    const store::WatchCache& watch_cache_;
    const peers::RecordFormatTracker& record_format_tracker_;
};

}  // namespace pineroad::controller
