// Placement: decides which pending task starts on which machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// A decision to start one task of a job on a machine.
struct PlacementDecision {
    std::string job;
    std::uint32_t index = 0;  // index of the task in its job
    std::string machine;
};

// Places pending jobs in descending order of xfactor, each task where its cost is lowest: gangs as a whole or
// not at all, arrays as far as there is room. A gang with a reservation is placed first. Among jobs with
// similar xfactors, those whose image is cached on a machine take precedence there. Updates machines, team
// usage and pending tasks in the snapshot, so that preemption and autoscaling see what remains.
std::vector<PlacementDecision> place_tasks(Snapshot& snapshot);

}  // namespace pineroad::scheduling
