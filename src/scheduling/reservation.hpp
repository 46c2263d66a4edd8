// Machines kept free for work that would otherwise never find them: for a gang that has waited too long, and
// for job classes that few pools can run.
#pragma once

#include <map>
#include <set>
#include <string>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Machines reserved for one gang; no job and no machines where none has a reservation.
struct Reservation {
    std::string job;
    std::set<std::string> machines;
};

// The reservation of DESIGN ("a waiter that finds no victims"): the gang that has waited longest, if longer
// than `reservation_wait_s`, keeps the first machines with room for its tasks. It is placed first, and
// nothing else starts there meanwhile. One gang at a time, and none beyond its team's limit (docs/design.md,
// "Kept at size").
Reservation reserve_machines(const Snapshot& snapshot);

// Arrivals to keep spare machines for, where the class's objective for starts is shorter than a boot: those
// of the time by which a machine requested for them would come too late. 0 for a class without such an
// objective.
int headroom_task_count(const Snapshot& snapshot, const ClassDemand& demand);

// Machines kept from work that more pools can run (docs/design.md, exceptions): for every class, as many of
// those it is bound to as its waiting tasks and its headroom need. Maps each machine to the number of pools
// eligible for that class: a job with more eligible pools may not start there.
std::map<std::string, int> constrained_class_reservations(const Snapshot& snapshot);

}  // namespace pineroad::scheduling
