// Placement: which waiting task starts on which machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// One task of a job that is to start on a machine.
struct PlacementDecision {
    std::string job;
    std::uint32_t index = 0;  // of the task in its job
    std::string machine;
};

// Places waiting jobs in falling xfactor, each task where it costs least: gangs whole or not at all, arrays
// as far as there is room. A gang with a reservation goes first, and among jobs of like xfactor those whose
// image a machine holds. Updates machines, team usage and waiting tasks in the snapshot, so that preemption
// and autoscaling see what is left.
std::vector<PlacementDecision> place_tasks(Snapshot& snapshot);

}  // namespace pineroad::scheduling
