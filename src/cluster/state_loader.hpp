// Builds the cluster state of a new term from the durable records: the failover.
#pragma once

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/segment_store.hpp"
#include "cluster/slowdown_averages.hpp"
#include "cluster/task_lifecycle.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

// The parts of the cluster state that a term takes over.
struct LoadedState {
    JobTable& jobs;
    MachineTable& machines;
    TaskLifecycle& tasks;
    SegmentStore& segments;
    ProvisioningRequests& provisioning;
    SlowdownAverages& averages;
};

// Loads records that no earlier term can add to any more.
class StateLoader {
   public:
    // Everything that the state refers to must outlive this object.
    explicit StateLoader(const LoadedState& state) : state_(state) {}

    // Loads everything. Progress without a job belongs to a cancelled one.
    void load(const store::WatchCache& watch_cache, double now);

   private:
    // One entry of a job.
    void load_progress(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                       const store::WatchCache::Progress& progress);
    // The placements of an entry, as inherited ones.
    void load_placements(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                         const model::Progress& entry, Job& job);
    // What an earlier term left undone with the job.
    void reconcile_job(Job& job);

    LoadedState state_;
};

}  // namespace pineroad::cluster
