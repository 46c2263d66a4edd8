// Periodically plans placements, preemption and scaling, and detects failures.
#pragma once

#include <memory>

#include "api/event_loop_lag.hpp"
#include "cluster/leader_term.hpp"
#include "config/settings.hpp"
#include "controller/direct_command_dispatcher.hpp"
#include "net/http.hpp"
#include "peers/record_format_tracker.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::controller {

// Runs the planning rounds of a term.
class PlanningLoop {
   public:
    // All of these must outlive the object.
    PlanningLoop(const config::Settings& settings, const store::WatchCache& watch_cache,
                 const peers::RecordFormatTracker& record_format_tracker,
                 const api::EventLoopLagMonitor& event_loop_lag);
    // Runs planning rounds until the term has ended.
    net::awaitable<void> run(std::shared_ptr<cluster::LeaderTerm> leader,
                             std::shared_ptr<DirectCommandDispatcher> dispatcher);

   private:
    // Runs one planning round. `could_start_tasks` holds whether the term was allowed to start tasks at the
    // previous call, and is updated.
    void plan(cluster::LeaderTerm& leader, DirectCommandDispatcher& dispatcher, bool& could_start_tasks);

    const config::Settings& settings_;
    const store::WatchCache& watch_cache_;
    const peers::RecordFormatTracker& record_format_tracker_;
    const api::EventLoopLagMonitor& event_loop_lag_;
};

}  // namespace pineroad::controller
