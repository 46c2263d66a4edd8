// The interface to the cloud: machine types, instance provisioning, release and the list of machines.
//
//   wire name                          term
//   /flavors                           machine types
//   /machines, /machines/release       machines: provisioning (POST) and list (GET), release
//   Breeds, Name                       machine types, name of one
//   Vcpus, Accelerators, MemGb         capacity of a machine: CPUs, GPUs, memory
//   CacheGb, PullGbPerS                image cache, rate of image fetches
//   Hourly, MarketPrice                price an hour, that of a spot instance now
//   StartupS                           usual boot time, in seconds
//   Yards                              zones where the type exists
//   Hire                               name of a provisioning request, which makes it idempotent
//   Breed, Yard, Loaners, Count        machine type, zone, spot instances, how many
//   Hosts                              machines
//   NameId, Address                    machine, its address
//   Status, HeldS                      machine status (booting, running, failed), age in seconds
//   Since, Page, Truncated             list after this machine, of at most so many, more follow
//
// Each reader gives nothing if the answer is malformed; its caller then asks again, as after no answer.
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

// The cloud's machine types; nothing if malformed. Stored records hold them in the same form.
std::optional<std::vector<model::MachineType>> parse_machine_types(const Json& document);

// The reverse.
Json machine_types_json(const std::vector<model::MachineType>& types);

// Body of a request for machines.
std::string provisioning_request(const model::ProvisioningRequest& request);

// Names of the machines that were provisioned; nothing if malformed.
std::optional<std::vector<std::string>> parse_provisioned_machines(std::string_view body);

// Body of a request to release these machines.
std::string release_request(const std::vector<std::string>& machines);

// Target of a request for at most `page_size` machines after the named one, or, if the name is empty, from
// the first on.
std::string machine_list_target(std::string_view after, int page_size);

// One page of the machines, in the order of their names.
struct MachineList {
    std::vector<model::ListedMachine> machines;
    bool truncated = false;  // more follow
};

// A page of the list; nothing if malformed.
std::optional<MachineList> parse_machine_list(std::string_view body);

}  // namespace pineroad::wire
