#include "api/load_shedding.hpp"

#include "config/constants.hpp"
#include "wire/protocol.hpp"

namespace pineroad::api {

namespace c = constants;
using net::Response;

LoadShedding::LoadShedding(const store::StoreClient& store, const EventLoopLagMonitor& event_loop_lag,
                           std::mt19937_64& random)
    : store_(store), event_loop_lag_(event_loop_lag), random_(random) {}

bool LoadShedding::submissions_overloaded() const {
    return event_loop_lag_.lag_s() > c::max_lag_for_submissions_s ||
           submissions_ >= c::max_submissions_in_flight;
}

bool LoadShedding::cancellations_overloaded() const {
    return event_loop_lag_.lag_s() > c::max_lag_for_polls_s || submissions_ >= c::max_submissions_in_flight;
}

bool LoadShedding::polls_overloaded() const {
    return event_loop_lag_.lag_s() > c::max_lag_for_polls_s || polls_ >= c::max_polls_in_flight;
}

// A controller that the store does not serve, or that is overloaded, also closes the connection, so that the
// user's next attempt may reach another controller. An open connection stays with this controller, which
// would reject all of the user's requests until it has recovered.
Response LoadShedding::reject(std::string_view reason) {
    return {503, wire::error_response(reason), retry_after_s(), closes_connection()};
}

Response LoadShedding::reject_overloaded() {
    return {503, wire::error_response("too busy"), retry_after_s(), true};
}

Response LoadShedding::reject_no_connection() {
    return {503, wire::error_response("no connection is free"), retry_after_s(), true};
}

int LoadShedding::retry_after_s() {
    return std::uniform_int_distribution<int>(c::retry_after_min_s, c::retry_after_max_s)(random_);
}

}  // namespace pineroad::api
