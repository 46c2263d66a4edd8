// Provisioning requests of a term. One record in the store holds all open requests by name and is written
// before any of them is sent to the cloud. Also tracks which machine pools recently had no capacity.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "model/model.hpp"
#include "scheduling/autoscaling.hpp"
#include "scheduling/snapshot.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

// Owns the provisioning requests of one term, from the decision to scale out until their responses are
// durable.
class ProvisioningRequests {
   public:
    // Creates the requests of the term with this fencing token, which makes their names unique.
    explicit ProvisioningRequests(std::uint64_t fencing_token) : fencing_token_(fencing_token) {}
    // Loads the requests of earlier terms, to be sent again under their names: the cloud provisions each name
    // only once.
    void load(const store::WatchCache& watch_cache);

    // Adds requests for the machines of the decision.
    void scale_out(const scheduling::ScaleOut& decision);
    // Returns the requests without a response that are still wanted: their machines may still be provisioned.
    [[nodiscard]] std::vector<model::ProvisioningRequest> open_requests() const;
    // Returns whether the cloud recently had no capacity in the pool.
    [[nodiscard]] bool lacks_capacity(const scheduling::MachinePool& pool, double now) const;

    // The record of open requests to be written.
    struct Record {
        wire::Json value;
        std::uint64_t mod_revision = 0;  // of the record that it replaces
        std::size_t bytes = 0;
        std::vector<std::string> open;    // names in the record
        std::vector<std::string> closed;  // names no longer in the record
        // Records of version 0.2, which hold a single request each and are removed once that request is
        // closed: key and revision.
        std::vector<std::pair<std::string, std::uint64_t>> single_request_records;
    };
    // Returns the record to be written, with as many requests as fit into `bytes`. Returns nothing if the
    // stored record is up to date, or if the requests that it must keep do not fit.
    [[nodiscard]] std::optional<Record> pending_record(double bytes) const;
    // Records that the record was committed at this revision.
    void apply_commit(const Record& record, std::uint64_t revision);

    // Returns whether a request is durable and can be sent, with no call in flight.
    [[nodiscard]] bool has_sendable() const;
    // Returns the next request to send to the cloud, and marks it as in flight.
    std::optional<model::ProvisioningRequest> take_next();
    // Records that the cloud provisioned this many machines. Returns the request, or nothing if the name is
    // not known.
    std::optional<model::ProvisioningRequest> record_response(const std::string& name, std::size_t machines,
                                                              double now);
    // Records that the cloud had no capacity for the request.
    void record_refusal(const std::string& name, double now);
    // Records that no response was received; the request is sent again under its name.
    void record_missing_response(const std::string& name);

   private:
    // State of a request.
    //   pending -> durable -> in_flight -> closed
    //   in_flight -> no_response -> in_flight, repeated until a response arrives
    // A request that was never sent may be withdrawn. From `durable` it becomes `closed` at once. From
    // `pending` it becomes `withdrawn`, and then `closed` if a commit that contains it still succeeds.
    enum class Phase {
        pending,      // not in the record yet
        durable,      // in the record, never sent to the cloud
        in_flight,    // a call to the cloud is in flight
        no_response,  // may have been sent, in this term or an earlier one, but has no response
        withdrawn,    // no longer wanted, and not in the record
        closed,       // has its response or is no longer wanted, and is still in the record
    };
    // A request of this term or of an earlier one.
    struct Request {
        model::ProvisioningRequest request;
        std::uint64_t own_record_revision = 0;  // of its own record, of version 0.2; 0: it has none
        Phase phase = Phase::pending;
        // Returns whether the request has no response and is still wanted.
        [[nodiscard]] bool is_open() const { return phase != Phase::withdrawn && phase != Phase::closed; }
        // Returns whether the record in the store contains the request.
        [[nodiscard]] bool is_in_record() const {
            return phase != Phase::pending && phase != Phase::withdrawn;
        }
        // Returns whether the request was certainly never sent.
        [[nodiscard]] bool is_unsent() const { return phase == Phase::pending || phase == Phase::durable; }
        // Returns whether the request is durable and still wanted, and no call is in flight.
        [[nodiscard]] bool is_sendable() const {
            return phase == Phase::durable || phase == Phase::no_response;
        }
        // Applies a commit that wrote the request into the record.
        void mark_durable() {
            if (phase == Phase::pending) phase = Phase::durable;
            if (phase == Phase::withdrawn) phase = Phase::closed;
        }
        // Closes the request, because it has its response or is no longer wanted.
        void close() { phase = is_in_record() ? Phase::closed : Phase::withdrawn; }
    };
    // Backoff of a pool without capacity.
    struct Backoff {
        double until_s = 0;  // no machine of the pool is requested before this time
        double delay_s = 0;  // latest delay; the next is twice as long
    };
    using PoolKey = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    // Returns the pool that a request names.
    static PoolKey pool_of(const model::ProvisioningRequest& request) {
        return {request.type, request.zone, request.spot};
    }
    // Closes the unsent requests for the pool of a refused one.
    void withdraw_unsent(const model::ProvisioningRequest& refused);

    std::uint64_t fencing_token_, request_count_ = 0, mod_revision_ = 0;
    std::map<std::string, Request> requests_;
    std::map<PoolKey, Backoff> backoffs_;
};

}  // namespace pineroad::cluster
