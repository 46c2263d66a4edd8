// Builds the leader's state for a term and runs the leader's loops.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "api/event_loop_lag.hpp"
#include "cluster/leader_term.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "controller/cloud_client.hpp"
#include "controller/commit_loop.hpp"
#include "controller/direct_command_dispatcher.hpp"
#include "controller/format_loop.hpp"
#include "controller/planning_loop.hpp"
#include "controller/provisioning_loops.hpp"
#include "leadership/election.hpp"
#include "model/model.hpp"
#include "net/http.hpp"
#include "peers/record_format_tracker.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::controller {

// Owns the leader's loops and the term that they run for.
class LeaderLoops final : public leadership::LeaderDelegate {
   public:
    // References and limits that the loops use. All references must outlive the object.
    struct Dependencies {
        net::asio::io_context& io;
        const config::Settings& settings;
        const config::Tuning& tuning;
        const net::ClientFactory& client_factory;
        std::size_t max_direct_commands_in_flight;
        store::StoreClient& store;
        store::WatchCache& watch_cache;
        store::LinearizableRead& linearizable_read;
        CloudClient& cloud;
        const peers::RecordFormatTracker& record_format_tracker;
        const api::EventLoopLagMonitor& event_loop_lag;
    };
    // Constructs the loops without starting them.
    explicit LeaderLoops(const Dependencies& dependencies);

    // Returns the term that is prepared or running; nullptr if there is none.
    [[nodiscard]] const std::shared_ptr<cluster::LeaderTerm>& active_term() const { return active_term_; }

    // --- leadership::LeaderDelegate ---
    // Loads the cluster state, which follows the watch cache from then on.
    bool prepare(const std::shared_ptr<leadership::Term>& term) override;
    // Spawns the loops.
    void start_term() override;
    // Returns when the latest heartbeat was applied (seconds, steady clock).
    [[nodiscard]] double last_heartbeat_s() const override;
    // Detaches the cluster state from the watch cache. The loops return by themselves once the term has
    // ended.
    void end_term() override;

   private:
    // Loads the cluster state from the watch cache. Returns false if cancellations may be missing.
    [[nodiscard]] bool load_cluster_state(cluster::ClusterState& cluster_state);
    // Forwards changes of the watch cache to the cluster state.
    void subscribe_to_watch_cache(cluster::LeaderTerm& leader);

    const Dependencies dependencies_;
    CommitLoop commit_loop_;
    PlanningLoop planning_loop_;
    FormatLoop format_loop_;
    ProvisioningLoops provisioning_loops_;
    std::shared_ptr<cluster::LeaderTerm> active_term_;
};

}  // namespace pineroad::controller
