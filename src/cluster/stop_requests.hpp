// Requests to stop tasks, and which of them are still to be sent by direct command.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cluster/job.hpp"

namespace pineroad::cluster {

// A task whose stop is to be sent by direct command.
struct UnsentStop {
    std::string job;
    std::uint32_t task = 0;
};

// Owns the queue of stops that were not sent by direct command yet. Answers to heartbeats carry every stop in
// any case.
class StopRequests {
   public:
    // The task is to end and may take so long to save its progress. Of several requests the one with the
    // shortest grace counts.
    void request(const Job& job, TaskPlacement& placement, double grace_s) {
        if (placement.stop && placement.stop->grace_s <= grace_s) return;
        placement.stop = StopRequest{grace_s};
        unsent_.push_back({job.id, placement.index});
    }
    // The same for every placement of the job.
    void request_all(Job& job, double grace_s) {
        for (auto& [task, placement] : job.placements) request(job, placement, grace_s);
    }
    // Empties the queue.
    std::vector<UnsentStop> take_unsent() { return std::exchange(unsent_, {}); }
    // Puts back what cannot be sent yet.
    void defer(std::vector<UnsentStop> stops) { unsent_ = std::move(stops); }

   private:
    std::vector<UnsentStop> unsent_;
};

}  // namespace pineroad::cluster
