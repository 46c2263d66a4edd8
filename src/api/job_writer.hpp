// Accepts and cancels users' jobs by transactions on the store.
#pragma once

#include <cstdint>
#include <optional>

#include "config/settings.hpp"
#include "model/model.hpp"
#include "net/http.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// Result of an attempt to accept a job.
enum class AcceptanceStatus {
    accepted,
    conflict,   // the store already has a job with that id
    too_large,  // the job exceeds the store's limits
    uncertain   // the job may have been accepted
};

// Status of an attempt to cancel a job.
enum class CancellationStatus {
    cancelled,
    conflict,  // the job was changed concurrently
    uncertain  // the job may have been cancelled
};

// Result of an attempt to cancel a job.
struct CancellationResult {
    CancellationStatus status = CancellationStatus::uncertain;
    std::uint64_t revision = 0;  // of the cancellation, if it succeeded
};

// Writes the submissions and cancellations of jobs to the store.
class JobWriter {
   public:
    // All of these must outlive the object.
    JobWriter(const config::Settings& settings, store::StoreClient& store, store::WatchCache& watch_cache);

    // Accepts the job with the current time as its acceptance time. A job that depends on a cancelled job is
    // recorded as cancelled immediately.
    net::awaitable<AcceptanceStatus> accept(model::JobSpec spec);
    // Cancels a live job. On success the outcome is recorded in the watch cache before the call returns.
    net::awaitable<CancellationResult> cancel(const store::Versioned<model::JobSpec>& job);

   private:
    const config::Settings& settings_;
    store::StoreClient& store_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::api
