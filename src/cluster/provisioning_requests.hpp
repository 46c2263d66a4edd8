// The rentals of a term: those that are open stand by name in one record of the state service, written before
// any of them is asked for; and what the cloud lately refused.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "model/model.hpp"
#include "scheduling/autoscaling.hpp"
#include "scheduling/snapshot.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

class ProvisioningRequests {
   public:
    explicit ProvisioningRequests(std::uint64_t fencing_token) : fencing_token_(fencing_token) {}
    // Of earlier terms, to be asked again under their names: each rents only once.
    void load(const store::WatchCache& watch_cache);

    void want(const scheduling::ScaleOut& rent);
    // Those that are not answered: room on its way.
    [[nodiscard]] std::vector<model::ProvisioningRequest> open() const;
    [[nodiscard]] bool refused(const scheduling::MachinePool& pool, double now) const;

    // --- the record ---
    struct Record {
        wire::Json value;
        std::uint64_t mod_revision = 0;  // of the record that it replaces
        std::size_t bytes = 0;
        std::vector<std::string> open, answered;  // by name: those in it, those no longer in it
        // Records of a rental each, from version 0.2: they go with their answers.
        std::vector<std::pair<std::string, std::uint64_t>> single;  // key and version
    };
    // As much as fits into so many bytes; nothing when the present one says it all.
    [[nodiscard]] std::optional<Record> record(double bytes) const;
    void apply_commit(const Record& record, std::uint64_t revision);

    // --- the cloud ---
    [[nodiscard]] bool waiting() const;                // one is durable and not asked for
    std::optional<model::ProvisioningRequest> next();  // the next of these
    // What was rented under the name, or nothing if it is not known.
    std::optional<model::ProvisioningRequest> answered(const std::string& name, std::size_t machines,
                                                       double now);
    void reject(const std::string& name, double now);
    void unanswered(const std::string& name);

   private:
    struct State {
        model::ProvisioningRequest rental;
        std::uint64_t own_record_revision = 0;  // of a record of its own
        bool durable = false, answered = false, inflight = false;
        bool sent = true;  // a call of its name may have been made
        [[nodiscard]] bool waits() const { return durable && !answered && !inflight; }
    };
    struct Refusal {
        double until = 0, pause = 0;
    };
    using PoolKey = std::tuple<std::string, std::string, bool>;  // type, zone, spot
    static PoolKey pool_of(const model::ProvisioningRequest& r) { return {r.type, r.zone, r.spot}; }
    void withdraw_unsent(const model::ProvisioningRequest& refused);

    std::uint64_t fencing_token_, count_ = 0, mod_revision_ = 0;
    std::map<std::string, State> all_;
    std::map<PoolKey, Refusal> store_refusal_;
};

}  // namespace pineroad::cluster
