// Builds the cluster state of a new term from the durable records after a failover.
#pragma once

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "cluster/provisioning_requests.hpp"
#include "cluster/segment_store.hpp"
#include "cluster/slowdown_averages.hpp"
#include "cluster/task_lifecycle.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

// The parts of the cluster state that a new term restores.
struct StateLoaderDependencies {
    JobTable& jobs;
    MachineTable& machines;
    TaskLifecycle& task_lifecycle;
    SegmentStore& segments;
    ProvisioningRequests& provisioning;
    SlowdownAverages& averages;
};

// Loads the records, once no earlier term can change them any more.
class StateLoader {
   public:
    // Everything that `dependencies` refers to must outlive this object.
    explicit StateLoader(const StateLoaderDependencies& dependencies) : dependencies_(dependencies) {}

    // Loads the whole state. Progress without a job belongs to a cancelled job.
    void load(const store::WatchCache& watch_cache, double now);

   private:
    // Loads one progress entry of a job.
    void load_progress(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                       const store::WatchCache::Progress& progress);
    // Loads the placements of an entry as inherited ones.
    void load_placements(const store::WatchCache& watch_cache, const wire::records::EntryName& name,
                         const model::Progress& entry, Job& job);
    // Completes what an earlier term left unfinished for the job.
    void reconcile_job(Job& job);

    StateLoaderDependencies dependencies_;
};

}  // namespace pineroad::cluster
