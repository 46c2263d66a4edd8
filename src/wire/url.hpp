// Values in the query of a URL.
#pragma once

#include <string>
#include <string_view>

namespace pineroad::wire {

// The value with every byte percent-encoded except letters, digits and "-_./~". Our keys and the names of
// machines hardly need it.
std::string escape_query_value(std::string_view value);

}  // namespace pineroad::wire
