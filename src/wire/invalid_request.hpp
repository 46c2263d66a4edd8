// Why the body of a request is answered with 400: the error of the readers of requests, and its text.
#pragma once

#include <boost/system/result.hpp>
#include <string>
#include <string_view>

namespace pineroad::wire {

// What is wrong with the body of a request, and with which of its fields.
struct InvalidRequest {
    // The first three tell of the whole body and name no field; the third is either of the first two.
    enum class Kind { not_json, not_an_object, not_a_json_object, missing, invalid, missing_or_invalid };

    Kind kind = Kind::not_json;
    std::string_view field = {};  // a literal with the wire's name; empty: one of several

    // The reason in one line, as it is told to whoever sent the request.
    [[nodiscard]] std::string message() const;
};

// What was read from a request's body, or why it can't be read.
template <class T>
using Parsed = boost::system::result<T, InvalidRequest>;

// Called by result::value() in the place of a missing value: throws std::invalid_argument with the text.
[[noreturn]] void throw_exception_from_error(const InvalidRequest& error,
                                             const boost::source_location& location);

}  // namespace pineroad::wire
