#include "controller/leader_loops.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "controller/spawn.hpp"
#include "store/steady_time.hpp"

namespace pineroad::controller {

using store::steady_now_s;

LeaderLoops::LeaderLoops(const Dependencies& dependencies)
    : dependencies_(dependencies),
      commit_loop_(dependencies.settings, dependencies.store, dependencies.linearizable_read,
                   dependencies.watch_cache),
      planning_loop_(dependencies.settings, dependencies.watch_cache, dependencies.record_format_tracker,
                     dependencies.event_loop_lag),
      format_loop_(dependencies.store, dependencies.linearizable_read, dependencies.watch_cache,
                   dependencies.record_format_tracker),
      provisioning_loops_(dependencies.cloud) {}

bool LeaderLoops::prepare(const std::shared_ptr<leadership::Term>& term) {
    const auto& watch_cache = dependencies_.watch_cache;
    const auto& recorded_leader = watch_cache.leader;
    if (!recorded_leader || recorded_leader->value.nonce != term->identity().nonce) return false;
    term->set_mod_revision(recorded_leader->mod_revision);
    auto leader = std::make_shared<cluster::LeaderTerm>(term, dependencies_.settings, dependencies_.tuning);
    if (!load_cluster_state(leader->cluster_state)) return false;
    subscribe_to_watch_cache(*leader);
    spdlog::info(
        "term {}: {} jobs, {} machines with tasks, {} provisioning requests open", term->fencing_token(),
        leader->cluster_state.jobs().size(), leader->cluster_state.machines().size(),
        watch_cache.open_provisioning_requests.value.size() + watch_cache.provisioning_records.size());
    active_term_ = std::move(leader);
    return true;
}

// Also applies the cancellations that peers reported after the revision of the watch cache, because the lease
// guard counts them as known. Returns false if the log of cancellations can't return all of them,
// because it may have evicted some or because they do not fit into one message.
bool LeaderLoops::load_cluster_state(cluster::ClusterState& cluster_state) {
    const auto& watch_cache = dependencies_.watch_cache;
    cluster_state.load(watch_cache, steady_now_s(), net::Clock::wall_ms());
    const auto cancellations = watch_cache.cancellations().entries_after(watch_cache.revision);
    if (!cancellations) return false;
    for (const auto& [revision, job] : *cancellations) cluster_state.job_cancelled(job, steady_now_s());
    return true;
}

// The callbacks capture the term by reference; end_term() removes them before the term can be destroyed.
void LeaderLoops::subscribe_to_watch_cache(cluster::LeaderTerm& leader) {
    auto& watch_cache = dependencies_.watch_cache;
    watch_cache.on_job_added = [&leader](const model::JobSpec& spec, std::uint64_t mod_revision) {
        leader.cluster_state.job_added(spec, mod_revision, steady_now_s());
        leader.write_limiter.record_writes_of_others(1);
        leader.term->plan_due.notify();
    };
    watch_cache.on_job_cancelled = [&leader](const std::string& id, bool is_new) {
        // A job that this term finished itself is no longer in the cluster state.
        const bool by_user = leader.cluster_state.jobs().contains(id);
        leader.cluster_state.job_cancelled(id, steady_now_s());
        if (is_new && by_user) leader.write_limiter.record_writes_of_others(2);
        leader.term->plan_due.notify();
    };
    watch_cache.on_dependency_change = [&leader](const model::DependencyGraph::Change& change) {
        for (const auto& id : change.cancelled)
            leader.cluster_state.job_cancelled_by_dependency(id, steady_now_s());
        leader.term->plan_due.notify();
    };
}

void LeaderLoops::start_term() {
    const auto& leader = active_term_;
    auto& io = dependencies_.io;
    auto dispatcher = std::make_shared<DirectCommandDispatcher>(
        leader->term,
        DirectCommandDispatcher::Dependencies{io, dependencies_.client_factory, dependencies_.settings,
                                              dependencies_.max_direct_commands_in_flight});
    spawn(io, "commit", commit_loop_.run(leader));
    spawn(io, "planning", planning_loop_.run(leader, std::move(dispatcher)));
    spawn(io, "machine list", provisioning_loops_.poll_machine_list(leader));
    spawn(io, "machine types", provisioning_loops_.poll_machine_types(leader));
    spawn(io, "scale-out", provisioning_loops_.scale_out(leader));
    spawn(io, "scale-in", provisioning_loops_.scale_in(leader));
    spawn(io, "record format", format_loop_.run(leader));
}

double LeaderLoops::last_heartbeat_s() const {
    return active_term_->cluster_state.last_heartbeat_s();
}

void LeaderLoops::end_term() {
    auto& watch_cache = dependencies_.watch_cache;
    watch_cache.on_job_added = nullptr;
    watch_cache.on_job_cancelled = nullptr;
    watch_cache.on_dependency_change = nullptr;
    active_term_.reset();
}

}  // namespace pineroad::controller
