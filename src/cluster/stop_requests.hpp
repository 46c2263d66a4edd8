// Requests to stop tasks, and the queue of those not yet sent as direct commands.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cluster/job.hpp"

namespace pineroad::cluster {

// A task whose stop must still be sent as a direct command.
struct UnsentStop {
    std::string job;
    std::uint32_t task = 0;
};

// Owns the queue of stops not yet sent as direct commands. Heartbeat responses carry every stop in any case.
class StopRequests {
   public:
    // Requests that the task stop, with `grace_s` seconds to save its progress. Of several requests the one
    // with the shortest grace period applies.
    void request(const Job& job, TaskPlacement& placement, double grace_s) {
        if (placement.stop && placement.stop->grace_s <= grace_s) return;
        placement.stop = StopRequest{grace_s};
        unsent_.push_back({job.id, placement.index});
    }
    // Requests a stop for every placement of the job.
    void request_all(Job& job, double grace_s) {
        for (auto& [task, placement] : job.placements) request(job, placement, grace_s);
    }
    // Removes and returns all queued stops.
    std::vector<UnsentStop> take_unsent() { return std::exchange(unsent_, {}); }
    // Queues stops that cannot be sent yet. Replaces the queue, so take_unsent() must have emptied it.
    void defer(std::vector<UnsentStop> stops) { unsent_ = std::move(stops); }

   private:
    std::vector<UnsentStop> unsent_;
};

}  // namespace pineroad::cluster
