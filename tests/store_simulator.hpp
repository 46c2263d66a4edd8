/// Simulates the consensus-backed key-value store as its protocol specifies it: keys and revisions,
/// compare-and-swap transactions, leases and watches.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "model/model.hpp"
#include "net/http.hpp"
#include "wire/protocol.hpp"

namespace pineroad::test {

class StoreSimulator {
   public:
    struct Row {
        wire::Json value;
        std::uint64_t mod_revision = 0, lease = 0;
    };

    /// Executes a request and returns the response.
    net::Response handle_request(const std::string& method, const std::string& target,
                                 const std::string& body, double now);
    /// Returns a query parameter of a request target, or an empty string if it is missing.
    static std::string query_parameter(const std::string& target, const std::string& name);
    [[nodiscard]] bool has_changes_since(std::uint64_t revision) const { return revision_ > revision; }
    /// Ends the leases that have expired and deletes their keys.
    void expire_leases(double now);
    /// Restarts the time to live of every lease, as the store does after an outage.
    void extend_leases(double now);

    /// Returns the leader's name, or an empty string if there is no leader.
    [[nodiscard]] std::string leader() const;
    /// Returns the fencing token of the latest term.
    [[nodiscard]] std::uint64_t fencing_token() const;
    [[nodiscard]] const std::map<std::string, Row>& rows() const { return rows_; }
    [[nodiscard]] std::size_t count_rows_with_prefix(std::string_view prefix) const;
    [[nodiscard]] std::size_t live_job_count() const;

    /// Stores the record of an accepted job directly, without a controller.
    void put_job(model::JobSpec spec, double now);
    void put(const std::string& key, wire::Json value);

    /// Limits of a transaction; one that exceeds them is rejected with status 400.
    std::size_t max_value_bytes = SIZE_MAX, max_transaction_changes = SIZE_MAX;
    int oversized_commits = 0;  ///< transactions rejected because of these limits

   private:
    struct Lease {
        double expires_at = 0, ttl_s = 0;
    };
    net::Response commit(const std::string& body);
    [[nodiscard]] bool within_limits(const wire::Json& transaction) const;
    [[nodiscard]] bool uses_unknown_lease(const wire::Json& transaction) const;
    [[nodiscard]] std::vector<std::string> failed_conditions(const wire::Json& transaction) const;
    void apply(const wire::Json& change);
    net::Response grant_lease(const std::string& body, double now);
    net::Response renew_or_end_lease(const std::string& method, std::uint64_t id, double now);
    [[nodiscard]] net::Response changes_since(std::uint64_t revision) const;
    [[nodiscard]] net::Response list(const std::string& prefix, const std::string& after) const;
    [[nodiscard]] net::Response read(const std::string& key) const;
    void end_lease(std::uint64_t id);
    void delete_row(const std::string& key);

    std::map<std::string, Row> rows_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<boost::json::object> change_log_;  // changes in order, with their revisions
    std::uint64_t revision_ = 0, next_lease_id_ = 1;
};

}  // namespace pineroad::test
