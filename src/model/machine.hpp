// Machine types and machines as listed by the cloud, and requests for machines.
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
    double cache_gb = 0;             // capacity of the image cache
    double fetch_gb_per_s = 0;       // rate at which images are fetched; 0: unknown
    double price = 0;                // per hour on demand; charged by the second, boot time included
    double spot_price = 0;           // current price per hour of a spot instance
    double boot_s = 0;               // nominal time from the request to the first heartbeat
    std::vector<std::string> zones;  // zones that offer this type
};

// State of a machine in the cloud's list.
enum class MachineStatus {
    booting,  // requested and charged; may already be running, because the list lags behind
    running,
    failed  // stopped by itself: no longer charged, but listed until it is deleted
};

// One entry of the cloud's list of machines.
struct ListedMachine {
    // Machine name, address of its worker ("host:port"), machine type, zone.
    std::string id, address, type, zone;
    bool spot = false;
    MachineStatus status = MachineStatus::booting;
    double age_s = 0;  // time since it was requested
};

// A request to the cloud for machines. Its unique name makes repeating it idempotent.
struct ProvisioningRequest {
    std::string name, type, zone;
    bool spot = false;
    std::uint32_t count = 1;  // number of machines; the cloud may provide fewer
};

}  // namespace pineroad::model
