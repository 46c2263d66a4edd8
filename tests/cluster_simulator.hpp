/// Runs whole controllers (`controller::Controller`) in simulated time against a simulated store, workers and
/// cloud, with outages, partitions, paused processes and delayed or duplicated messages. It uses neither
/// sockets nor the real clock, so every run of a test is identical.
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

/// Initial state of a cluster's controllers.
struct ClusterOptions {
    std::uint64_t record_format = wire::records::record_format;  ///< newest format that they read
    std::function<void(config::Settings&)> adjust_settings;      ///< applied to each controller
    /// Applied to each controller that is upgraded to the current version.
    std::function<void(config::Settings&)> adjust_settings_on_upgrade;
};

/// Returns controllers of the earlier version (0.4), which are upgraded under lower limits of the store.
ClusterOptions earlier_version();

class ClusterSimulator {
   public:
    /// Starts the controllers c-0, c-1 and so on; `trace` names the expected trace, or is no_trace.
    ClusterSimulator(const std::string& trace, int controllers, const ClusterOptions& options = {});
    ~ClusterSimulator();
    ClusterSimulator(const ClusterSimulator&) = delete;
    ClusterSimulator& operator=(const ClusterSimulator&) = delete;

    // --- time ---
    void run(double seconds);
    /// Runs until `tasks` tasks execute, then until the first of them ends. The first wait ends at the latest
    /// 30 s after the start of the test, the second 60 s after it.
    void run_until_first_task_ends(std::size_t tasks);
    [[nodiscard]] double now() const;  ///< simulated time in seconds
    /// Adds a line to the trace.
    void note(const std::string& line);

    // --- requests; these return nothing if there is no response within 6 s ---
    std::optional<net::Response> request(int controller, const std::string& method, const std::string& target,
                                         const std::string& body = {});
    /// Submits a job of one task; `overrides` replaces fields of the default submission.
    std::optional<net::Response> submit(int controller, const std::string& id,
                                        const boost::json::object& overrides = {});
    std::optional<net::Response> poll(int controller, const std::string& id);
    std::optional<net::Response> cancel(int controller, const std::string& id);
    std::optional<net::Response> send_heartbeat(int controller, const model::Heartbeat& heartbeat);
    /// Sends a request without waiting. The result is filled in when the response arrives; a paused process
    /// sends none.
    std::shared_ptr<std::optional<net::Response>> send_request(int controller, const std::string& method,
                                                               const std::string& target,
                                                               const std::string& body = {});
    static std::string heartbeat_body(const model::Heartbeat& heartbeat);

    // --- processes ---
    void kill(int controller);
    void restart(int controller);  ///< ends the process and starts a new one at once
    void upgrade(int controller);  ///< restarts the process with the current version
    [[nodiscard]] int controllers() const { return static_cast<int>(processes_->controllers.size()); }
    [[nodiscard]] int leader() const;  ///< the leader recorded in the store, or -1

    StoreSimulator store;
    WorkerSimulator workers{*this};

    // --- faults ---
    bool store_outage = false;
    double store_delay_s = 0;  ///< added to the latency of every store response
    std::set<int> partitioned_from_store, partitioned_from_peers;
    /// Controllers to which the store responds 503 at once; their open watches wait as in an outage.
    std::set<int> rejected_by_store;
    /// Delay after which transactions are applied, possibly after newer ones; they get no response. 0: off.
    double write_delay_s = 0;
    /// Controllers whose transactions are applied at once but whose responses are lost.
    std::set<int> lost_commit_responses;
    /// Controllers whose processes are suspended while the clock advances. Their pending work continues when
    /// they resume.
    std::set<int> paused;
    struct HeldRequest {
        std::string method, target, body;
    };
    /// Controllers whose commits get no response and are kept, in order, in `held_commits`.
    std::set<int> controllers_with_held_commits;
    std::map<int, std::vector<HeldRequest>> held_commits;

    std::map<std::string, int> store_request_counts;  ///< by first path element

   private:
    friend class SimulatedClient;
    struct Process {
        std::unique_ptr<boost::asio::io_context> io = std::make_unique<boost::asio::io_context>();
        config::Settings settings;
        std::uint64_t record_format = wire::records::record_format;
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
    net::awaitable<std::optional<net::Response>> forward_to_store(int controller, std::string method,
                                                                  std::string target, std::string body,
                                                                  double timeout_s);
    net::awaitable<std::optional<net::Response>> forward_to_peer(int sender, int receiver, std::string method,
                                                                 std::string target, std::string body,
                                                                 double timeout_s);
    [[nodiscard]] bool is_store_unreachable(int controller) const;
    std::optional<net::Response> record_response(const std::string& what, int controller,
                                                 std::optional<net::Response> response);
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
