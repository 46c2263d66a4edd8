// Machines as the cloud offers and lists them, and requests for them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/resources.hpp"

namespace pineroad::model {

// A type of machine that the cloud offers.
struct MachineType {
    std::string name;
    Resources capacity;
    double cache_gb = 0;             // room for images
    double fetch_gb_per_s = 0;       // rate at which images are fetched; 0: not known
    double price = 0;                // of an hour, on demand; charged by the second, boot time included
    double spot_price = 0;           // the present one of an hour as a spot instance
    double boot_s = 0;               // nominal time from the request to the first heartbeat
    std::vector<std::string> zones;  // where it is offered
};

// A machine's state in the cloud's list.
enum class MachineStatus {
    booting,  // requested, and charged from then on; it may already be up, as the list lags
    running,
    failed  // stopped on its own: no longer charged, listed until it is deleted
};

// One entry of the cloud's list of machines.
struct ListedMachine {
    // Its name, the address of its worker ("host:port"), its machine type and its zone.
    std::string id, address, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    double age_s = 0;  // since it was requested
};

// A request to the cloud for machines, under a name that is never used twice: repeated, it is idempotent.
struct ProvisioningRequest {
    std::string name, type, zone;
    bool spot = false;
    std::uint32_t count = 1;  // of machines; the cloud may give fewer
};

}  // namespace pineroad::model
