// Names of released machines, so that late copies of their heartbeats and outdated machine lists are ignored.
#pragma once

#include <deque>
#include <set>
#include <string>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::cluster {

// Remembers machines whose release was confirmed, limited in time and number.
class ReleasedMachines {
   public:
    // Adds a machine whose release was confirmed.
    void add(const std::string& machine, double now) {
        if (names_.insert(machine).second) order_.emplace_back(now, machine);
    }
    // Returns whether the machine was released.
    [[nodiscard]] bool contains(const std::string& machine) const { return names_.contains(machine); }
    // Forgets names older than the retention time, and the oldest ones beyond the maximum number.
    void expire(double now) {
        while (!order_.empty() && (now - order_.front().first > constants::released_machine_retention_s ||
                                   order_.size() > constants::max_released_machines)) {
            names_.erase(order_.front().second);
            order_.pop_front();
        }
    }

   private:
    std::set<std::string> names_;
    std::deque<std::pair<double, std::string>> order_;  // time of release and name, oldest first
};

}  // namespace pineroad::cluster
