// Autoscaling: decides which machines to request from the cloud and which to release.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// A number of machines to request from one pool.
struct ScaleOut {
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 1;
};

// Result of one round of autoscaling: requests by pool, and the ids of machines to release.
struct AutoscalingPlan {
    std::vector<ScaleOut> scale_out;
    std::vector<std::string> scale_in;
};

// Plans capacity as described in docs/design.md ("Capacity"). To be called after place_tasks(), so that only
// tasks that could not be placed count. Machines that were requested earlier and are not up yet are in the
// snapshot with `booting` set.
AutoscalingPlan plan_autoscaling(Snapshot snapshot);

}  // namespace pineroad::scheduling
