// The provisioning requests of a term. Those that are open stand by name in one record of the store, written
// before any of them is sent to the cloud; beside them, which machine pools lately had no capacity.
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

// Owns the provisioning requests of one term, from the decision to scale out until their answers are durable.
class ProvisioningRequests {
   public:
    // For the term with this fencing token, which makes the names of its requests unique.
    explicit ProvisioningRequests(std::uint64_t fencing_token) : fencing_token_(fencing_token) {}
    // Takes over the requests of earlier terms, to be sent again under their names: each provisions only
    // once.
    void load(const store::WatchCache& watch_cache);

    // Adds requests for as many machines of a pool.
    void scale_out(const scheduling::ScaleOut& decision);
    // Requests without an answer: capacity on its way.
    [[nodiscard]] std::vector<model::ProvisioningRequest> open_requests() const;
    // Whether the cloud had no capacity in the pool a moment ago.
    [[nodiscard]] bool lacks_capacity(const scheduling::MachinePool& pool, double now) const;

    // The record of open requests, as it is to be written.
    struct Record {
        wire::Json value;
        std::uint64_t mod_revision = 0;  // of the record that it replaces
        std::size_t bytes = 0;
        std::vector<std::string> open;    // names in it
        std::vector<std::string> closed;  // names that are no longer in it
        // Records of a single request each, from version 0.2: removed with their answers. Key and revision.
        std::vector<std::pair<std::string, std::uint64_t>> single_request_records;
    };
    // As much as fits into so many bytes; nothing when the present record is up to date.
    [[nodiscard]] std::optional<Record> pending_record(double bytes) const;
    // The record was committed at this revision.
    void apply_commit(const Record& record, std::uint64_t revision);

    // Whether a request is durable and not under way.
    [[nodiscard]] bool has_sendable() const;
    // The next request to be sent to the cloud; it counts as under way from here.
    std::optional<model::ProvisioningRequest> take_next();
    // The cloud answered with so many machines. Returns the request, or nothing if the name is not known.
    std::optional<model::ProvisioningRequest> record_answer(const std::string& name, std::size_t machines,
                                                            double now);
    // The cloud had no capacity for the request.
    void record_refusal(const std::string& name, double now);
    // No answer came: the request is sent again under its name.
    void record_missing_answer(const std::string& name);

   private:
    // Where a request stands.
    //   wanted -> durable -> in_flight -> closed, with in_flight -> unanswered -> in_flight for as long as no
    //   answer comes. A request that was never sent may be withdrawn: from `pending`, and then its record may
    //   still be committed, which makes it `closed`; from `durable` it is `closed` at once.
    enum class Phase {
        pending,     // not in the record yet
        durable,     // in the record; no call of its name was made
        in_flight,   // a call is under way
        unanswered,  // a call may have been made, by this term or an earlier one, without an answer
        withdrawn,   // not wanted any more, and not in the record
        closed,      // answered or not wanted any more, and still in the record
    };
    // A request of this term or of an earlier one.
    struct Request {
        model::ProvisioningRequest request;
        std::uint64_t own_record_revision = 0;  // of a record of its own
        Phase phase = Phase::pending;
        // No answer came, and it is still wanted.
        [[nodiscard]] bool is_open() const { return phase != Phase::withdrawn && phase != Phase::closed; }
        // It stands in the record of the store.
        [[nodiscard]] bool is_in_record() const {
            return phase != Phase::pending && phase != Phase::withdrawn;
        }
        // No call of its name can have been made.
        [[nodiscard]] bool is_unsent() const { return phase == Phase::pending || phase == Phase::durable; }
        // It is durable, wanted, and no call is under way.
        [[nodiscard]] bool is_sendable() const {
            return phase == Phase::durable || phase == Phase::unanswered;
        }
        // A commit wrote it into the record.
        void mark_durable() {
            if (phase == Phase::pending) phase = Phase::durable;
            if (phase == Phase::withdrawn) phase = Phase::closed;
        }
        // It was answered, or is not wanted any more.
        void close() { phase = is_in_record() ? Phase::closed : Phase::withdrawn; }
    };
    // A pool without capacity.
    struct Backoff {
        double until_s = 0;  // no machine of the pool is requested before
        double delay_s = 0;  // the latest pause; the next is twice as long
    };
    using PoolKey = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    // The pool that a request names.
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
