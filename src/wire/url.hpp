// Request targets: a path and its query.
#pragma once

#include <string>
#include <string_view>

namespace pineroad::wire {

// Appends a query parameter to the target. The value is percent-encoded, the name is not.
void add_query_parameter(std::string& target, std::string_view name, std::string_view value);

}  // namespace pineroad::wire
