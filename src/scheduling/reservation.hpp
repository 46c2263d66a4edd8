// Machines reserved for jobs that would otherwise starve: for a gang that has waited too long, and for job
// classes that only few pools can run.
#pragma once

#include <map>
#include <set>
#include <string>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Machines reserved for one gang; empty if no gang has a reservation.
struct Reservation {
    std::string job;
    std::set<std::string> machines;
};

// Returns the reservation for a gang that finds no victims (docs/design.md): the gang that has waited
// longest, if longer than `reservation_wait_s`, reserves the first machines with room for its tasks. It is
// placed first, and no other job starts on these machines. Only one gang has a reservation at a time, and
// never one that would exceed its team's quota (docs/design.md, "Kept at size").
Reservation reserve_machines(const Snapshot& snapshot);

// Returns the number of tasks for which spare machines are kept if the class's objective for the start time
// is shorter than the boot time: the expected arrivals during the difference, times Tuning::headroom_factor.
// 0 for a class without such an objective.
int headroom_task_count(const Snapshot& snapshot, const ClassDemand& demand);

// Reserves machines for constrained job classes (docs/design.md, exceptions): for every class, as many
// eligible machines as its pending tasks and its headroom need. Maps each reserved machine to the number of
// pools that are eligible for the class: a job with more eligible pools may not start there.
std::map<std::string, int> constrained_class_reservations(const Snapshot& snapshot);

}  // namespace pineroad::scheduling
