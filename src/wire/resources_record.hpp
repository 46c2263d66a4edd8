// Resources inside other records: [CPUs, GPUs, memory in GB].
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string_view>

#include "model/model.hpp"

namespace pineroad::wire::records {

// Returns the resources as an array.
boost::json::array resources_json(const model::Resources& resources);
// Parses the resources in a field of `object`. Returns std::nullopt if the field is missing or malformed.
std::optional<model::Resources> parse_resources(const boost::json::object& object, std::string_view key);

}  // namespace pineroad::wire::records
