// The interface to the cloud: machine types, instance provisioning, release and the list of machines.
//
//   wire name                          term
//   /flavors                           machine types
//   /machines, /machines/release       machines: provisioning (POST) and list (GET), release
//   Breeds, Name                       machine types, name of one
//   Vcpus, Accelerators, MemGb         capacity of a machine: CPUs, GPUs, memory
//   CacheGb, PullGbPerS                image cache, rate of image fetches
//   Hourly, MarketPrice                hourly price, current hourly price as a spot instance
//   StartupS                           typical boot time in seconds
//   Yards                              zones where the type exists
//   Hire                               name of a provisioning request, which serves as idempotency key
//   Breed, Yard, Loaners, Count        machine type, zone, whether spot instances, number of machines
//   Hosts                              machines
//   NameId, Address                    name and address of a machine
//   Status, HeldS                      machine status (booting, running, failed), age in seconds
//   Since, Page, Truncated             machine after which the page starts, page size, whether more follow
//
// Parsers return std::nullopt for a malformed response; callers then retry as after a missing response.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire {

inline constexpr std::string_view machine_types_path = "/flavors";
inline constexpr std::string_view machines_path = "/machines";
inline constexpr std::string_view release_path = "/machines/release";

// Parses the list of machine types. The store's record of machine types has the same form.
std::optional<std::vector<model::MachineType>> parse_machine_types(const Json& document);

// Returns the document that parse_machine_types() reads.
Json machine_types_json(const std::vector<model::MachineType>& types);

// Returns the body of a request to provision machines.
std::string provisioning_request(const model::ProvisioningRequest& request);

// Returns the names of the machines that were provisioned.
std::optional<std::vector<std::string>> parse_provisioned_machines(std::string_view body);

// Returns the body of a request to release the machines.
std::string release_request(const std::vector<std::string>& machines);

// Returns the target of a request for at most `page_size` machines, starting after the machine `after`, or
// with the first one if `after` is empty.
std::string machine_list_target(std::string_view after, int page_size);

// One page of the list of machines, sorted by name.
struct MachineList {
    std::vector<model::ListedMachine> machines;
    bool has_more = false;  // whether more machines follow
};

// Parses one page of the list of machines.
std::optional<MachineList> parse_machine_list(std::string_view body);

}  // namespace pineroad::wire
