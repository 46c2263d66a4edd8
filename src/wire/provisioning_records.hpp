// Records of instance provisioning requests.
//
//   pr/live/rentals  {name: request, ...}, all that are not answered yet
//   pr/live/r/NAME   one request, as version 0.2 wrote it
//
// A request is {"type": machine type, "zone", "spot": true or false, "count": number of machines}.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// One request, without its name.
Json provisioning_request_json(const model::ProvisioningRequest& request);
// The reverse; nothing if malformed.
std::optional<model::ProvisioningRequest> parse_provisioning_request(const std::string& name,
                                                                     const Json& value);

// All of them, by name.
Json provisioning_requests_json(const std::vector<model::ProvisioningRequest>& requests);
// The reverse; nothing if any is malformed.
std::optional<std::vector<model::ProvisioningRequest>> parse_provisioning_requests(const Json& value);

}  // namespace pineroad::wire::records
