// The user API: submits, polls and cancels jobs. Any controller can serve it, from the watch cache and the
// store.
#pragma once

#include <string>

#include "api/admission.hpp"
#include "api/job_lookup.hpp"
#include "api/job_writer.hpp"
#include "api/load_shedding.hpp"
#include "net/http.hpp"
#include "peers/peer_exchange.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// Handles users' requests.
class UserApi {
   public:
    // References that the API uses. All of them must outlive the object.
    struct Dependencies {
        store::WatchCache& watch_cache;
        JobLookup& job_lookup;
        JobWriter& job_writer;
        Admission& admission;
        LoadShedding& load_shedding;
        peers::PeerExchange& peers;
    };
    // Keeps the references.
    explicit UserApi(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Accepts the job in the request body. Idempotent: a repeated submission returns the job's state.
    net::awaitable<net::Response> submit(std::string body);
    // Returns the job's state.
    net::awaitable<net::Response> poll(std::string id);
    // Cancels the job if it is live, and returns its state.
    net::awaitable<net::Response> cancel(std::string id);

   private:
    // Checks the job and accepts it.
    net::awaitable<AdmissionResult> admit(model::JobSpec spec);
    // Returns the response that reports a job's state.
    [[nodiscard]] net::Response job_state_response(const std::string& id, JobState state);

    Dependencies dependencies_;
};

}  // namespace pineroad::api
