#include "controller/planning_loop.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"

namespace pineroad::controller {

namespace c = constants;
using store::steady_now_s;

PlanningLoop::PlanningLoop(const config::Settings& settings, const store::WatchCache& watch_cache,
                           const peers::RecordFormatTracker& record_format_tracker,
                           const api::EventLoopLagMonitor& event_loop_lag)
    : settings_(settings),
      watch_cache_(watch_cache),
      record_format_tracker_(record_format_tracker),
      event_loop_lag_(event_loop_lag) {}

// One round covers all heartbeats since the previous round: with one round per heartbeat, hundreds of
// machines that each send a heartbeat every second would exceed the controller's share of a processor.
net::awaitable<void> PlanningLoop::run(std::shared_ptr<cluster::LeaderTerm> leader,
                                       std::shared_ptr<DirectCommandDispatcher> dispatcher) {
    bool could_start_tasks = true;
    while (!leader->term->ended()) {
        plan(*leader, *dispatcher, could_start_tasks);
        co_await net::sleep_for(c::min_plan_interval_s +
                                std::min(event_loop_lag_.lag_s(), c::max_plan_interval_s));
        co_await leader->term->plan_due.wait(c::max_plan_interval_s);
    }
}

void PlanningLoop::plan(cluster::LeaderTerm& leader, DirectCommandDispatcher& dispatcher,
                        bool& could_start_tasks) {
    auto& term = *leader.term;
    auto& cluster_state = leader.cluster_state;
    if (record_format_tracker_.all_controllers_read_format()) cluster_state.allow_sharding();
    if (term.may_start_tasks()) {
        // Without a valid lease this leader may have been partitioned: the silence of a machine during that
        // time does not indicate that the machine has failed.
        if (!std::exchange(could_start_tasks, true)) cluster_state.restart_silence_timers(steady_now_s());
        cluster_state.detect_failures(steady_now_s());
        cluster_state.plan(steady_now_s(), net::Clock::wall_ms(),
                           watch_cache_.demand.by_class(settings_, steady_now_s()));
    } else {
        could_start_tasks = false;
    }
    if (cluster_state.write_due()) term.commit_due.notify();
    dispatcher.dispatch(cluster_state.take_direct_commands());
    if (!cluster_state.machines_to_release(steady_now_s()).empty()) term.scaling_due.notify();
}

}  // namespace pineroad::controller
