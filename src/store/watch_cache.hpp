// This controller's copy of the service's records in the store, kept current by watches. It may lag behind
// the store: whoever needs an answer no older than one already given makes a linearizable read first.
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

// The live records, decoded, and what follows from them: the dependency graph, the outcomes of jobs that
// ended lately and the demand by class. Times are seconds of the steady clock. A record that cannot be read
// is logged or skipped, and leaves what was known before.
class WatchCache {
   public:
    // Holds nothing, and is not ready.
    WatchCache();

    // Forgets the live records before they are read anew. Outcomes, cancellations, demand and the hooks stay:
    // they do not depend on what is live, and an acknowledged cancellation must stay known.
    void clear();
    // A record was written, with this value and this revision of its key. Keys of other services are ignored.
    void apply_put(const std::string& key, const wire::Json& value, std::uint64_t mod_revision, double now);
    // A record was deleted.
    void apply_delete(const std::string& key);
    // The events of one watch answer, in their order. Two watches may overlap and answer out of order, and
    // each holds everything after its start: events up to `revision` are skipped.
    void apply(const wire::WatchEvents& events, double now);
    // Every record up to `revision` was applied: the cache is ready for use.
    void mark_ready();
    // Makes a job's outcome known: the only way to do so, taken before any user or peer is answered, whether
    // the outcome comes from a watch, an answer of the store or a peer. `mod_revision` is that of its record.
    void record_outcome(const std::string& id, const model::JobOutcome& outcome, std::uint64_t mod_revision);

    // How the job ended, as far as memory has it. A live job counts as cancelled once a job that it depends
    // on is: it cannot end in any other way, whether or not its own final record is written yet.
    std::optional<model::FinalStatus> outcome_of(const std::string& id);
    // Whether a placement that is part of the entry counts: see ProgressView.
    [[nodiscard]] bool is_current(const wire::records::EntryName& entry,
                                  const model::Placement& placement) const {
        return progress.is_current(entry, placement);
    }
    // Number of the job's tasks that are done, and that are placed on a machine.
    [[nodiscard]] ProgressView::TaskCounts task_counts(const std::string& id) const {
        return progress.task_counts(id);
    }
    // The dependencies between live jobs.
    [[nodiscard]] const model::DependencyGraph& dependencies() const { return dependencies_; }
    // The cancellations known to this process.
    [[nodiscard]] const CancellationLog& cancellations() const { return cancellations_; }

    using Progress = ProgressView::Entry;

    bool ready = false;          // every record up to `revision` is applied
    std::uint64_t revision = 0;  // of the store, up to which events are applied
    std::map<std::string, Versioned<model::JobSpec>>
        jobs;  // live jobs with their whole dependency list, by id
    ProgressView progress;
    // Provisioning requests without an answer, in the one record that holds them all.
    Versioned<std::vector<model::ProvisioningRequest>> open_provisioning_requests;
    // The same in records of their own, by name, as version 0.2 wrote them.
    std::map<std::string, Versioned<model::ProvisioningRequest>> provisioning_records;
    std::optional<Versioned<wire::records::Leader>> leader;  // who holds the term; nothing: it is vacant
    Versioned<std::uint64_t> term;                           // the greatest fencing token given out
    std::optional<Versioned<std::vector<model::MachineType>>> machine_types;
    Versioned<model::CategoryAverages> category_averages;
    Versioned<std::set<std::string>>
        record_format_readers;  // controllers that read the present record format
    ArrivalTracker demand;      // of jobs since their dependencies are done

    // Hooks of the leader, called while a record or an outcome is applied; empty ones are not called.
    // A job became live; with the revision of its record.
    std::function<void(const model::JobSpec&, std::uint64_t mod_revision)> on_job_added;
    // A job is cancelled; `is_new` if this cancellation was not known here before.
    std::function<void(const std::string& id, bool is_new)> on_job_cancelled;
    // Jobs became ready, or cancelled because of a job that they depend on.
    std::function<void(const model::DependencyGraph::Change&)> on_dependency_change;

   private:
    // How each kind of record is applied (watch_cache_records.cpp).
    struct RecordHandlers;

    // Takes in a job whose dependency list is complete, new or written again.
    void add_job(Versioned<model::JobSpec> job, double now);
    // Passes on jobs that became ready, or cancelled, to the demand and to the hook.
    void notify_dependency_change(const model::DependencyGraph::Change& change);

    DependencyAssembler dependency_assembler_;
    model::DependencyGraph dependencies_;
    // Of jobs that ended lately; the least recently used are dropped beyond constants::outcome_cache_size.
    boost::compute::detail::lru_cache<std::string, model::JobOutcome> recent_outcomes_;
    CancellationLog cancellations_;
    double last_event_s_ = 0;  // when an event was last applied
};

}  // namespace pineroad::store
