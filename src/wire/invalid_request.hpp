// Error type of the request parsers: the reason for a response with status 400.
#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>

namespace pineroad::wire {

// Describes what is wrong with the body of a request, and in which field.
struct InvalidRequest {
    // The first three concern the whole body and name no field. not_a_json_object does not distinguish
    // between the first two.
    enum class Kind { not_json, not_an_object, not_a_json_object, missing, invalid, missing_or_invalid };

    Kind kind = Kind::not_json;
    std::string_view field = {};  // wire name (a string literal); empty if several were checked together

    // Returns the one-line message that is sent to the client.
    [[nodiscard]] std::string message() const;
};

// The value parsed from a request's body, or the error.
template <class T>
using Parsed = boost::system::result<T, InvalidRequest>;

// Called by result::value() if there is no value. Throws std::invalid_argument with the error's message.
[[noreturn]] void throw_exception_from_error(const InvalidRequest& error,
                                             const boost::source_location& location);

}  // namespace pineroad::wire
