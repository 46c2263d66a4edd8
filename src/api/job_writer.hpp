// The transactions by which users' jobs are accepted and cancelled.
#pragma once

#include <cstdint>
#include <optional>

#include "config/settings.hpp"
#include "model/model.hpp"
#include "net/http.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// What became of an attempt to accept a job.
enum class AcceptanceStatus {
    accepted,
    conflict,   // a job of that name is known to the store
    too_large,  // it does not fit the store's limits
    uncertain   // it may have been accepted
};

// What became of an attempt to cancel a job.
enum class CancellationStatus {
    cancelled,
    conflict,  // the job changed meanwhile
    uncertain  // it may have been cancelled
};

// The outcome of a cancellation.
struct CancellationResult {
    CancellationStatus status = CancellationStatus::uncertain;
    std::uint64_t revision = 0;  // that holds it, when cancelled
};

// Writes what users decide on their jobs.
class JobWriter {
   public:
    // All of these must outlive the object.
    JobWriter(const config::Settings& settings, store::StoreClient& store, store::WatchCache& watch_cache);

    // Accepts the job as of now. One that depends on a cancelled job is recorded as cancelled at once.
    net::awaitable<AcceptanceStatus> accept(model::JobSpec spec);
    // Cancels a live job. A success is recorded in the watch cache before the call returns.
    net::awaitable<CancellationResult> cancel(const store::Versioned<model::JobSpec>& job);

   private:
    const config::Settings& settings_;
    store::StoreClient& store_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::api
