// Admission control: whether a submitted job can be accepted.
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
#include "peers/record_format.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::api {

// Why a job is not accepted.
enum class AdmissionErrorKind {
    malformed,            // its request can't be carried out as written
    infeasible,           // no machine type or the team's limit does not allow it
    invalid_dependency,   // it names a job that it can't depend on
    retry_later,          // the same request may be accepted later
    acceptance_uncertain  // it may have been accepted; the user's next try finds out
};

// Why a job is not accepted, and the HTTP answer that says so.
struct AdmissionError {
    AdmissionErrorKind kind = AdmissionErrorKind::malformed;
    int status = 400;
    std::string text;
    int retry_after_s = 0;          // 0: no header
    bool close_connection = false;  // after the answer
};

// The answer to the user.
net::Reply to_reply(const AdmissionError& error);

using AdmissionResult = boost::system::result<void, AdmissionError>;

// Decides on submitted jobs.
class Admission {
   public:
    // What admission works with; all of it must outlive the object.
    struct Dependencies {
        const config::Settings& settings;
        store::StoreClient& store;
        store::WatchCache& watch_cache;
        JobLookup& job_lookup;
        peers::RecordFormat& record_format;
        LoadShedding& load_shedding;
    };
    // Keeps the references.
    explicit Admission(const Dependencies& dependencies) : dependencies_(dependencies) {}

    // Checks the job against the settings, the machine types and the jobs that it depends on. The watch cache
    // must hold the machine types.
    net::awaitable<AdmissionResult> check(const model::JobSpec& spec);
    // The user is to try again.
    [[nodiscard]] AdmissionError retry_later_error(std::string_view reason);
    // ... since the store can't tell.
    [[nodiscard]] AdmissionError store_unavailable() {
        return retry_later_error("state service unavailable");
    }

   private:
    // A job that another one depends on.
    enum class DependencyState { accepted, service, unknown, undetermined };

    // The checks that need no look-up.
    [[nodiscard]] AdmissionResult check_dependency_list(const model::JobSpec& spec);
    // The checks of each dependency, which may need look-ups in the store.
    net::awaitable<AdmissionResult> check_dependencies(const model::JobSpec& spec);
    // Whether a job may depend on one of this state.
    [[nodiscard]] AdmissionResult check_dependency(const std::string& id, DependencyState state);
    // From the watch cache; nothing if it does not tell.
    [[nodiscard]] std::optional<DependencyState> cached_dependency_state(const std::string& id);
    // From the store.
    net::awaitable<DependencyState> look_up_dependency(std::string id);

    Dependencies dependencies_;
};

}  // namespace pineroad::api
