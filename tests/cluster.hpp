// Whole nodes in simulated time: the loops of control::Node against a state service that speaks the protocol,
// with outages, cuts and late copies. No sockets and no real clock, so that a story runs the same every time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "fleet.hpp"
#include "world.hpp"

namespace pineroad::test {

// The state service by its protocol: keys, leases, watches.
class StateService {
   public:
    net::Reply answer(const std::string& method, const std::string& target, const std::string& body,
                      double now);
    [[nodiscard]] bool changed_since(std::uint64_t revision) const { return revision_ > revision; }
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] std::uint64_t fencing_token() const;
    void expire(double now);
    void extend_leases(double now);  // an outage is over
    struct Row {
        wire::Json value;
        std::uint64_t mod_revision = 0, lease = 0;
    };
    struct Lease {
        double until = 0, ttl = 0;
    };
    [[nodiscard]] const std::map<std::string, Row>& rows() const { return rows_; }
    [[nodiscard]] std::size_t rows_under(std::string_view prefix) const;
    [[nodiscard]] std::size_t live_jobs() const;
    // An accepted job, without a node that accepts it.
    void put_job(model::JobSpec spec, double now);
    void put(const std::string& key, wire::Json value);
    // Limits of a transaction; beyond, it is answered 400.
    std::size_t value_bytes = SIZE_MAX, max_transaction_changes = SIZE_MAX;
    int refused_commits = 0;  // for these limits

   private:
    net::Reply commit(const std::string& body);
    [[nodiscard]] bool within_limits(const wire::Json& transaction) const;
    void end_lease(std::uint64_t id);
    void drop(const std::string& key);
    std::map<std::string, Row> rows_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<boost::json::object> log_;  // every change, with its revision
    std::uint64_t revision_ = 0, next_lease_ = 1;
};

// How a cluster's controllers begin.
struct ClusterOptions {
    std::uint64_t record_format = wire::records::format;  // that they read
    std::function<void(config::Settings&)> adjust;        // of each
    std::function<void(config::Settings&)> on_upgrade;    // of each that is replaced by the present version
};

class Cluster {
   public:
    Cluster(std::string name, int nodes, const ClusterOptions& options = {});
    ~Cluster();

    void run(double s);
    // Until so many tasks run, and then until the first of them ends; not without end.
    void run_to_first_end(std::size_t tasks);
    [[nodiscard]] double now() const;
    void note(const std::string& line);
    std::optional<net::Reply> ask(int node, const std::string& method, const std::string& target,
                                  const std::string& body = {});
    // A job of one task; what else it asks for replaces the fields of the same name.
    std::optional<net::Reply> submit(int node, const std::string& id, const boost::json::object& other = {});
    std::optional<net::Reply> poll(int node, const std::string& id);
    std::optional<net::Reply> cancel(int node, const std::string& id);
    std::optional<net::Reply> report(int node, const model::Heartbeat& report);
    // A request whose answer is looked at later: a frozen process gives none.
    std::shared_ptr<std::optional<net::Reply>> send(int node, const std::string& method,
                                                    const std::string& target, const std::string& body = {});
    static std::string body_of(const model::Heartbeat& report);
    void end(int node);
    void restart(int node);  // the process ends, and a new one begins at once
    void upgrade(int node);  // the same, and the new one is of the present version

    [[nodiscard]] int nodes() const { return static_cast<int>(inner_->nodes.size()); }
    [[nodiscard]] int leader() const;  // by the state service; -1: none

    StateService state;
    Fleet fleet{*this};
    bool state_out = false;
    double state_slow_s = 0;  // every answer takes so much longer
    std::set<int> cut_from_state, cut_from_peers;
    std::set<int> refused;  // by the state service: 503 at once; open watches wait as in an outage
    // Transactions get no answer and are carried out so much later, after newer ones.
    double late_writes_s = 0;
    // Answers to these nodes' transactions are lost; they are carried out at once.
    std::set<int> lost_commit_answers;
    // Processes that stand still while the clocks run on. What they had begun goes on when they do.
    std::set<int> frozen;
    struct Sent {
        std::string method, target, body;
    };
    // Commits held back for a node, in order; the node gets no answer.
    std::map<int, std::vector<Sent>> held;
    std::set<int> holding;
    std::map<std::string, int> requests;  // to the state service, by its first path element

   private:
    friend class Link;
    net::awaitable<std::optional<net::Reply>> to_state(int from, std::string method, std::string target,
                                                       std::string body, double timeout_s);
    net::awaitable<std::optional<net::Reply>> to_peer(int from, int to, std::string method,
                                                      std::string target, std::string body, double timeout_s);
    std::optional<net::Reply> tell(const std::string& what, int node, std::optional<net::Reply> reply);
    struct Inner {
        config::Tuning tuning;
        struct Process {
            std::unique_ptr<boost::asio::io_context> io = std::make_unique<boost::asio::io_context>();
            config::Settings settings;
            std::uint64_t record_format = wire::records::format;
            std::unique_ptr<controller::Controller> process;
            std::shared_ptr<bool> alive;
        };
        std::vector<Process> nodes;
        std::vector<std::unique_ptr<controller::Controller>> ended;
    };
    std::shared_ptr<Inner> inner_;
    std::function<void(config::Settings&)> on_upgrade_;
    std::string name_;
    std::ostringstream trace_;
    struct LateWrite {
        double at = 0;
        std::string body;
    };
    std::deque<LateWrite> late_writes_;
    std::uint64_t seed_ = 0, noted_token_ = 0;
};

}  // namespace pineroad::test
