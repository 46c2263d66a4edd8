// This controller's copy of the service's records in the store, kept current by watches. It may lag behind
// the store: a caller whose result must not be older than one returned before makes a linearizable read
// first.
#pragma once

#include <boost/compute/detail/lru_cache.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/dependency_graph.hpp"
#include "model/model.hpp"
#include "store/arrival_tracker.hpp"
#include "store/cancellation_log.hpp"
#include "store/dependency_assembler.hpp"
#include "store/progress_view.hpp"
#include "store/versioned.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::store {

// The decoded live records and what is derived from them: the dependency graph, the outcomes of recently
// finished jobs and the demand by class. Times are seconds on the steady clock. A record that cannot be read
// is logged or skipped, and the previous value stays.
class WatchCache {
   public:
    // Creates an empty cache that is not ready.
    WatchCache();

    // Forgets the live records before they are read again. Outcomes, cancellations, demand and hooks stay:
    // they do not depend on the live records, and a confirmed cancellation must stay known.
    void clear();
    // Applies a written record, with its value and the revision of its key. Ignores keys of other services.
    void apply_put(const std::string& key, const wire::Json& value, std::uint64_t mod_revision, double now);
    // Applies the deletion of a record.
    void apply_delete(const std::string& key);
    // Applies the events of one watch response in order. Two watches may overlap and complete out of order,
    // and each returns everything after its start, so events up to `revision` are skipped.
    void apply(const wire::WatchEvents& events, double now);
    // Marks the cache as ready for use, after every record up to `revision` was applied.
    void mark_ready();
    // Records the outcome of a job, read from its record at `mod_revision`. Every outcome is recorded here
    // before it is reported to any user or peer, whether it came from a watch, another response of the store
    // or a peer.
    void record_outcome(const std::string& id, const model::JobOutcome& outcome, std::uint64_t mod_revision);

    // Returns the final status of the job, if it is in memory. A live job counts as cancelled once a job that
    // it depends on is: it cannot finish in any other way, even before its own final record is written.
    std::optional<model::FinalStatus> outcome_of(const std::string& id);
    // Returns whether this placement of the entry is current; see ProgressView.
    [[nodiscard]] bool is_current(const wire::records::EntryName& entry,
                                  const model::Placement& placement) const {
        return progress.is_current(entry, placement);
    }
    // Returns the numbers of the job's tasks that are done and that are placed on a machine.
    [[nodiscard]] ProgressView::RecordedTaskCounts task_counts(const std::string& id) const {
        return progress.task_counts(id);
    }
    // Returns the dependencies between live jobs.
    [[nodiscard]] const model::DependencyGraph& dependencies() const { return dependencies_; }
    // Returns the cancellations known to this process.
    [[nodiscard]] const CancellationLog& cancellations() const { return cancellations_; }

    using Progress = ProgressView::Entry;

    bool ready = false;          // every record up to `revision` is applied
    std::uint64_t revision = 0;  // store revision up to which events are applied
    // Live jobs with their whole dependency list, by id.
    std::map<std::string, Versioned<model::JobSpec>> jobs;
    ProgressView progress;
    // Open provisioning requests in the one record that holds all of them.
    Versioned<std::vector<model::ProvisioningRequest>> open_provisioning_requests;
    // Open provisioning requests in separate records, by name, as version 0.2 wrote them.
    std::map<std::string, Versioned<model::ProvisioningRequest>> provisioning_records;
    std::optional<Versioned<wire::records::Leader>> leader;  // empty: there is no leader
    Versioned<std::uint64_t> term;                           // highest fencing token issued
    std::optional<Versioned<std::vector<model::MachineType>>> machine_types;
    Versioned<model::CategoryAverages> category_averages;
    Versioned<std::set<std::string>> record_format_readers;  // controllers that read the current format
    ArrivalTracker demand;                                   // counts a job once its dependencies are done

    // Hooks of the leader, called while a record or an outcome is applied; empty ones are not called.

    // Called when a job became live, with the revision of its record.
    std::function<void(const model::JobSpec&, std::uint64_t mod_revision)> on_job_added;
    // Called when a job is cancelled. `is_new`: this cancellation was not known here before.
    std::function<void(const std::string& id, bool is_new)> on_job_cancelled;
    // Called when jobs became ready, or were cancelled because of a job that they depend on.
    std::function<void(const model::DependencyGraph::Change&)> on_dependency_change;

   private:
    // Handlers for each kind of record (watch_cache_records.cpp).
    struct RecordHandlers;

    // Adds a job whose dependency list is complete, or replaces it if its record was written again.
    void add_job(Versioned<model::JobSpec> job, double now);
    // Reports jobs that became ready, or were cancelled, to the demand tracker and to the hook.
    void notify_dependency_change(const model::DependencyGraph::Change& change);

    DependencyAssembler dependency_assembler_;
    model::DependencyGraph dependencies_;
    // Outcomes of recently finished jobs; the least recently used are evicted beyond
    // constants::max_cached_outcomes.
    boost::compute::detail::lru_cache<std::string, model::JobOutcome> recent_outcomes_;
    CancellationLog cancellations_;
    double last_event_s_ = 0;  // time of the latest applied event
};

}  // namespace pineroad::store
