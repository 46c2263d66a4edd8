// The work of the leader: builds the state of a term and runs its loops.
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
#include "peers/record_format.hpp"
#include "store/linearizable_read.hpp"
#include "store/store_client.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::controller {

// Owns the loops of the leader and the term that they work for.
class LeaderLoops final : public leadership::LeaderWork {
   public:
    // What the loops work with; all of it must outlive the object.
    struct Dependencies {
        net::asio::io_context& io;
        const config::Settings& settings;
        const config::Tuning& tuning;
        const net::ClientFactory& connect;
        std::size_t max_direct_commands_in_flight;
        store::StoreClient& store;
        store::WatchCache& watch_cache;
        store::LinearizableRead& linearizable_read;
        CloudClient& cloud;
        const peers::RecordFormat& record_format;
        const api::EventLoopLagMonitor& event_loop_lag;
    };
    // Starts nothing.
    explicit LeaderLoops(const Dependencies& dependencies);

    // The term that is prepared or under way; null: none.
    [[nodiscard]] const std::shared_ptr<cluster::LeaderTerm>& active_term() const { return active_term_; }

    // --- leadership::LeaderWork ---
    // Loads the cluster state; from then on it follows the watch cache.
    bool prepare(const std::shared_ptr<leadership::Term>& term) override;
    // Spawns the loops.
    void start_term() override;
    // Seconds on the steady clock.
    [[nodiscard]] double last_heartbeat() const override;
    // Detaches the cluster state from the watch cache. The loops end by themselves.
    void finish() override;

   private:
    // Loads the cluster state from the watch cache.
    [[nodiscard]] bool load(cluster::ClusterState& cluster_state);
    // Passes changes of the watch cache on to the cluster state.
    void follow_watch_cache(cluster::LeaderTerm& leader);

    const Dependencies dependencies_;
    CommitLoop commit_loop_;
    PlanningLoop planning_loop_;
    FormatLoop format_loop_;
    ProvisioningLoops provisioning_loops_;
    std::shared_ptr<cluster::LeaderTerm> active_term_;
};

}  // namespace pineroad::controller
