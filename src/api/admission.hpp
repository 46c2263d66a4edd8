// Admission control: decides whether a submitted job can be accepted.
#pragma once

#include <boost/system/result.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "api/job_lookup.hpp"
#include "api/load_shedding.hpp"
#include "config/settings.hpp"
#include "model/model.hpp"
#include "net/http.hpp"
#include "peers/record_format_tracker.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// Why a job is not accepted.
enum class AdmissionErrorKind {
    malformed,            // the request can't be carried out as written
    infeasible,           // it can never run
    invalid_dependency,   // it names a job that it can't depend on
    retry_later,          // the same request may be accepted later
    acceptance_uncertain  // it may have been accepted; a retry finds out
};

// Why a job is not accepted, and the HTTP response that reports it.
struct AdmissionError {
    AdmissionErrorKind kind = AdmissionErrorKind::malformed;
    int status = 400;
    std::string message;
    int retry_after_s = 0;          // 0: no header
    bool close_connection = false;  // after the response
};

// Returns the HTTP response that reports the error.
net::Response to_error_response(const AdmissionError& error);

using AdmissionResult = boost::system::result<void, AdmissionError>;

// Decides whether submitted jobs are accepted.
class Admission {
   public:
    // References that admission uses. All of them must outlive the object.
    struct Dependencies {
        const config::Settings& settings;
        store::StoreClient& store;
        store::WatchCache& watch_cache;
        JobLookup& job_lookup;
        peers::RecordFormatTracker& record_format_tracker;
        LoadShedding& load_shedding;
    };
    // Keeps the references.
    explicit Admission(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Checks the job against the settings, the machine types and the jobs that it depends on.
    net::awaitable<AdmissionResult> check(const model::JobSpec& spec);
    // Returns the error to report once a linearizable read has shown that no controller knows the job. The
    // read may have brought newer machine types than those that an error of check() is based on; if the job
    // can run on these, the user is asked to retry.
    [[nodiscard]] AdmissionError confirm_error(const model::JobSpec& spec, const AdmissionError& error);
    // Returns an error that asks the user to retry later.
    [[nodiscard]] AdmissionError retry_later_error(std::string_view reason);
    // Returns the same error with the reason that the store does not respond.
    [[nodiscard]] AdmissionError store_unavailable() {
        return retry_later_error("state service unavailable");
    }

   private:
    // State of a job that another job depends on.
    enum class DependencyState { accepted, service, unknown, undetermined };

    // Returns an error if the job can never run on the machine types in the watch cache, or if these do not
    // say yet what the deployment offers.
    [[nodiscard]] AdmissionResult check_feasibility(const model::JobSpec& spec);
    // Runs the checks of the dependencies that require no look-up.
    [[nodiscard]] AdmissionResult check_dependency_list(const model::JobSpec& spec);
    // Checks each dependency, which may require look-ups in the store.
    net::awaitable<AdmissionResult> check_dependencies(const model::JobSpec& spec);
    // Returns an error if a job may not depend on the job `id`, which has this state.
    [[nodiscard]] AdmissionResult check_dependency(const std::string& id, DependencyState state);
    // Returns the state of the job from the watch cache, or nothing if the cache does not hold it.
    [[nodiscard]] std::optional<DependencyState> cached_dependency_state(const std::string& id);
    // Looks up the state of the job in the store.
    net::awaitable<DependencyState> look_up_dependency(std::string id);

    Dependencies dependencies_;
};

}  // namespace pineroad::api
