// What a job is to its users. Any controller can tell, from the watch cache and the store.
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

// What is known of a job.
enum class JobState {
    live,         // accepted, and not over
    done,         // over
    cancelled,    // over
    unknown,      // never accepted
    undetermined  // can't be told now: the store does not answer
};

// The state of a job that ended so.
JobState job_state_of(model::FinalStatus outcome);

// Looks up jobs for users and for admission.
class JobLookup {
   public:
    // All of these must outlive the object.
    JobLookup(store::StoreClient& store, store::LinearizableRead& linearizable_read,
              store::WatchCache& watch_cache);

    // How the job ended, as far as the watch cache tells; nothing if it doesn't.
    [[nodiscard]] std::optional<JobState> cached_outcome(const std::string& id);
    // The job's state, by a read that was sent after the call.
    net::awaitable<JobState> look_up(std::string id);
    // How the job ended, from the watch cache or the store: done, cancelled, undecidable, or unknown when
    // there is no record of its end.
    net::awaitable<JobState> look_up_outcome(std::string id);
    // Looks up how the dependencies of live jobs ended where the watch cache does not tell, every
    // dependency_period_s. Never returns.
    net::awaitable<void> resolve_dependencies();

   private:
    // Looks up the outcomes of jobs that are not live. False: not all could be told.
    net::awaitable<bool> resolve_outcomes(std::vector<std::string> ids);

    store::StoreClient& store_;
    store::LinearizableRead& linearizable_read_;
    store::WatchCache& watch_cache_;
};

}  // namespace pineroad::api
