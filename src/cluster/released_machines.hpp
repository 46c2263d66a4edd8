// The names of released machines. Late copies of their heartbeats and lagging machine lists mean nothing.
#pragma once

#include <deque>
#include <set>
#include <string>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::cluster {

// Remembers the machines whose release was answered, for a time and up to a number.
class ReleasedMachines {
   public:
    // The release of the machine was answered.
    void add(const std::string& machine, double now) {
        if (names_.insert(machine).second) order_.emplace_back(now, machine);
    }
    // Whether the machine was released.
    [[nodiscard]] bool contains(const std::string& machine) const { return names_.contains(machine); }
    // Forgets what is older than the retention, and the oldest beyond the number.
    void expire(double now) {
        while (!order_.empty() && (now - order_.front().first > constants::released_machine_retention_s ||
                                   order_.size() > constants::max_released_machines)) {
            names_.erase(order_.front().second);
            order_.pop_front();
        }
    }

   private:
    std::set<std::string> names_;
    std::deque<std::pair<double, std::string>> order_;  // when it was released, and its name
};

}  // namespace pineroad::cluster
