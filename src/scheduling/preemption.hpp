// Preemption: the paper's tunable selective suspension (sections 4.2 to 4.5), as adapted in docs/design.md.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// A pending job (preemptor) and the running gangs (victims) to stop so that it can start, by job id.
struct Preemption {
    std::string preemptor;
    std::vector<std::string> victims;
};

// Runs one round of preemption, to be called after place_tasks(). Returns the first pending job in descending
// order of xfactor for which stopping victims makes room, with the smallest sufficient number of victims,
// widest first. Returns nothing if there is no such job.
std::optional<Preemption> select_preemption(const Snapshot& snapshot);

}  // namespace pineroad::scheduling
