/// The consensus-backed key-value store by its protocol: keys and revisions, compare-and-swap transactions,
/// leases and watches.
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

    net::Reply answer(const std::string& method, const std::string& target, const std::string& body,
                      double now);
    /// The parameter of a request's target; empty if it is missing.
    static std::string query_parameter(const std::string& target, const std::string& name);
    [[nodiscard]] bool has_changes_since(std::uint64_t revision) const { return revision_ > revision; }
    /// Leases that ran out end, and their keys are dropped.
    void expire_leases(double now);
    /// After an outage: every lease counts anew.
    void extend_leases(double now);

    /// The leading controller's name; empty: there is none.
    [[nodiscard]] std::string leader() const;
    /// The fencing token of the newest term.
    [[nodiscard]] std::uint64_t fencing_token() const;
    [[nodiscard]] const std::map<std::string, Row>& rows() const { return rows_; }
    [[nodiscard]] std::size_t count_rows_with_prefix(std::string_view prefix) const;
    [[nodiscard]] std::size_t live_job_count() const;

    /// An accepted job, without a controller that accepts it.
    void put_job(model::JobSpec spec, double now);
    void put(const std::string& key, wire::Json value);

    /// Limits of a transaction; beyond, it is answered 400.
    std::size_t max_value_bytes = SIZE_MAX, max_transaction_changes = SIZE_MAX;
    int oversized_commits = 0;  ///< for these limits

   private:
    struct Lease {
        double expires_at = 0, ttl_s = 0;
    };
    net::Reply commit(const std::string& body);
    [[nodiscard]] bool within_limits(const wire::Json& transaction) const;
    [[nodiscard]] bool uses_unknown_lease(const wire::Json& transaction) const;
    [[nodiscard]] std::vector<std::string> failed_conditions(const wire::Json& transaction) const;
    void apply(const wire::Json& change);
    net::Reply grant_lease(const std::string& body, double now);
    net::Reply renew_or_end_lease(const std::string& method, std::uint64_t id, double now);
    [[nodiscard]] net::Reply changes_since(std::uint64_t revision) const;
    [[nodiscard]] net::Reply list(const std::string& prefix, const std::string& after) const;
    [[nodiscard]] net::Reply read(const std::string& key) const;
    void end_lease(std::uint64_t id);
    void delete_row(const std::string& key);

    std::map<std::string, Row> rows_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<boost::json::object> change_log_;  // every change, with its revision
    std::uint64_t revision_ = 0, next_lease_ = 1;
};

}  // namespace pineroad::test
