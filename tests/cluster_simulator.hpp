/// Whole controllers in simulated time: the loops of control::Node against a simulated store, workers and
/// cloud, with outages, partitions, pauses and late copies. No sockets and no real clock, so that a test runs
/// the same every time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "sample_jobs.hpp"
#include "store_simulator.hpp"
#include "trace.hpp"
#include "worker_simulator.hpp"

namespace pineroad::test {

/// How a cluster's controllers begin.
struct ClusterOptions {
    std::uint64_t record_format = wire::records::format;     ///< that they read
    std::function<void(config::Settings&)> adjust_settings;  ///< of each
    std::function<void(config::Settings&)>
        adjust_settings_on_upgrade;  ///< of each that is replaced by the present version
};

class ClusterSimulator {
   public:
    /// Controllers c-0, c-1 and so on, which begin at once; `trace` names the kept trace.
    ClusterSimulator(const std::string& trace, int controllers, const ClusterOptions& options = {});
    ~ClusterSimulator();
    ClusterSimulator(const ClusterSimulator&) = delete;
    ClusterSimulator& operator=(const ClusterSimulator&) = delete;

    // --- time ---
    void run(double seconds);
    /// Until so many tasks run, and then until the first of them ends; not without end.
    void run_until_first_task_ends(std::size_t tasks);
    [[nodiscard]] double now() const;  ///< seconds
    /// A line of the trace.
    void note(const std::string& line);

    // --- requests; nothing is returned for one that gets no answer within some seconds ---
    std::optional<net::Reply> request(int controller, const std::string& method, const std::string& target,
                                      const std::string& body = {});
    /// A job of one task; what else it asks for replaces the fields of the same name.
    std::optional<net::Reply> submit(int controller, const std::string& id,
                                     const boost::json::object& overrides = {});
    std::optional<net::Reply> poll(int controller, const std::string& id);
    std::optional<net::Reply> cancel(int controller, const std::string& id);
    std::optional<net::Reply> send_heartbeat(int controller, const model::Heartbeat& heartbeat);
    /// A request whose answer is looked at later: a paused process gives none.
    std::shared_ptr<std::optional<net::Reply>> send_request(int controller, const std::string& method,
                                                            const std::string& target,
                                                            const std::string& body = {});
    static std::string heartbeat_body(const model::Heartbeat& heartbeat);

    // --- processes ---
    void kill(int controller);
    void restart(int controller);  ///< the process ends, and a new one begins at once
    void upgrade(int controller);  ///< the same, and the new one is of the present version
    [[nodiscard]] int controllers() const { return static_cast<int>(processes_->controllers.size()); }
    [[nodiscard]] int leader() const;  ///< by the store; -1: none

    StoreSimulator store;
    WorkerSimulator workers{*this};

    // --- faults ---
    bool store_outage = false;
    double store_delay_s = 0;  ///< every answer of the store takes so much longer
    std::set<int> partitioned_from_store, partitioned_from_peers;
    /// By the store: 503 at once; open watches wait as in an outage.
    std::set<int> rejected_by_store;
    /// Transactions get no answer and are carried out so much later, after newer ones.
    double write_delay_s = 0;
    /// Answers to these controllers' transactions are lost; they are carried out at once.
    std::set<int> lost_commit_responses;
    /// Processes that stand still while the clocks run on. What they had begun goes on when they do.
    std::set<int> paused;
    struct HeldRequest {
        std::string method, target, body;
    };
    /// Commits of these controllers are held back, in order; the controllers get no answer.
    std::set<int> controllers_with_held_commits;
    std::map<int, std::vector<HeldRequest>> held_commits;

    std::map<std::string, int> store_request_counts;  ///< by their first path element

   private:
    friend class SimulatedClient;
    struct Process {
        std::unique_ptr<boost::asio::io_context> io = std::make_unique<boost::asio::io_context>();
        config::Settings settings;
        std::uint64_t record_format = wire::records::format;
        std::unique_ptr<controller::Controller> controller;
        std::shared_ptr<bool> alive;
    };
    struct Processes {
        config::Tuning tuning;
        std::vector<Process> controllers;
        std::vector<std::unique_ptr<controller::Controller>> ended_controllers;
    };
    struct DelayedWrite {
        double apply_at = 0;
        std::string body;
    };
    net::awaitable<std::optional<net::Reply>> forward_to_store(int controller, std::string method,
                                                               std::string target, std::string body,
                                                               double timeout_s);
    net::awaitable<std::optional<net::Reply>> forward_to_peer(int sender, int receiver, std::string method,
                                                              std::string target, std::string body,
                                                              double timeout_s);
    [[nodiscard]] bool is_store_unreachable(int controller) const;
    std::optional<net::Reply> record_reply(const std::string& what, int controller,
                                           std::optional<net::Reply> reply);
    void configure(int controller, int controllers, const ClusterOptions& options);
    void step();
    Process& process(int controller) {
        return processes_->controllers.at(static_cast<std::size_t>(controller));
    }

    Trace trace_;
    std::shared_ptr<Processes> processes_;
    std::function<void(config::Settings&)> adjust_settings_on_upgrade_;
    std::deque<DelayedWrite> delayed_writes_;
    std::uint64_t seed_ = 0, last_noted_token_ = 0;
};

}  // namespace pineroad::test
