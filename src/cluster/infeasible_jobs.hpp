// Keeps jobs that can never run out of the scheduler's snapshot. A job can be infeasible although it was
// accepted: by an earlier version that checked less, or before the settings or the machine types changed.
#pragma once

#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "scheduling/snapshot.hpp"

namespace pineroad::cluster {

// Moves the jobs that can never run from the snapshot's pending jobs to its infeasible ones, so that no
// machine is provisioned or reserved for them. A class whose sample is such a job gets another live job of
// the class as its sample, or loses its demand if there is none. Changes nothing while it is not known what
// the deployment offers.
void remove_infeasible_jobs(scheduling::Snapshot& snapshot, const JobTable& jobs,
                            const MachineTable& machines);

}  // namespace pineroad::cluster
