// Autoscaling: which machines to request from the cloud, and which to give back.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Machines of one pool to request.
struct ScaleOut {
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 1;
};

// What one round of autoscaling asks for: requests by pool, and the ids of machines to release.
struct AutoscalingPlan {
    std::vector<ScaleOut> scale_out;
    std::vector<std::string> scale_in;
};

// Plans capacity as docs/design.md ("Capacity") describes. To be called after place_tasks(): what still waits
// decides. Machines requested before and not up yet are in the snapshot as booting ones.
AutoscalingPlan plan_autoscaling(Snapshot snapshot);

}  // namespace pineroad::scheduling
