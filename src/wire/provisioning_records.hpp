// Records of provisioning requests.
//
//   pr/live/rentals  {name: request, ...}: all open requests
//   pr/live/r/NAME   one open request, as written by version 0.2
//
// A request is {"type": machine type, "zone", "spot": true or false, "count": number of machines}.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Returns the record of one request, without its name.
Json provisioning_request_json(const model::ProvisioningRequest& request);
// Parses the record of the request with the given name. Returns std::nullopt if it is malformed.
std::optional<model::ProvisioningRequest> parse_provisioning_request(const std::string& name,
                                                                     const Json& value);

// Returns the record of all open requests, keyed by name.
Json provisioning_requests_json(const std::vector<model::ProvisioningRequest>& requests);
// Parses the record of all open requests. Returns std::nullopt if any of them is malformed.
std::optional<std::vector<model::ProvisioningRequest>> parse_provisioning_requests(const Json& value);

}  // namespace pineroad::wire::records
