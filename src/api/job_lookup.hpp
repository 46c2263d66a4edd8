// Looks up the state of a job as its users see it. Any controller can do so, from the watch cache and the
// store.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "net/http.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// State of a job as its users see it.
enum class JobState {
    live,         // accepted and not finished
    done,         // finished: every task is done
    cancelled,    // finished: cancelled by its user, or because a job that it depends on was cancelled
    unknown,      // never accepted
    undetermined  // can't be determined now: the store does not respond
};

// Returns the state of a job that finished with this outcome.
JobState job_state_of(model::FinalStatus outcome);

// Looks up jobs for users and for admission.
class JobLookup {
   public:
    // All of these must outlive the object.
    JobLookup(store::StoreClient& store, store::LinearizableRead& linearizable_read,
              store::WatchCache& watch_cache);

    // Returns the final state of the job, or nothing if the watch cache does not hold its outcome.
    [[nodiscard]] std::optional<JobState> cached_outcome(const std::string& id);
    // Returns the job's state, based on a read that was sent after the call.
    net::awaitable<JobState> look_up(std::string id);
    // Returns the final state of the job, from the watch cache or the store: done, cancelled, undetermined,
    // or unknown if it has no final record.
    net::awaitable<JobState> look_up_outcome(std::string id);
    // Looks up the outcomes of live jobs' dependencies that the watch cache does not hold, every
    // dependency_lookup_period_s. Never returns.
    net::awaitable<void> resolve_dependencies();

   private:
    // Looks up the outcomes of those of the jobs that are not live. Returns false if one of them could not be
    // determined.
    net::awaitable<bool> resolve_outcomes(std::vector<std::string> ids);

    store::StoreClient& store_;
    store::LinearizableRead& linearizable_read_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::api
