// Targets of requests: a path and its query.
#pragma once

#include <string>
#include <string_view>

namespace pineroad::wire {

// Adds a parameter to the target's query. Its value is escaped, its name is not.
void add_query_parameter(std::string& target, std::string_view name, std::string_view value);

}  // namespace pineroad::wire
