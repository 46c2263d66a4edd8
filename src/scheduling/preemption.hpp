// Preemption: tuneable selective suspension of the paper (sections 4.2 to 4.5), as docs/design.md adopts it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Running gangs to stop, by job, so that a waiting job can start.
struct Preemption {
    std::string preemptor;
    std::vector<std::string> victims;
};

// One round of preemption, to be called after place_tasks(): for the first waiter in falling xfactor that
// victims make room for, the fewest victims that suffice, the widest first. At most one waiter is served in a
// round; nothing where no waiter can be.
std::optional<Preemption> select_preemption(const Snapshot& snapshot);

}  // namespace pineroad::scheduling
