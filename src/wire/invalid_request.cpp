#include "wire/invalid_request.hpp"

#include <stdexcept>

namespace pineroad::wire {
namespace {

std::string_view description(InvalidRequest::Kind kind) {
    switch (kind) {
        case InvalidRequest::Kind::not_json:
            return "not JSON";
        case InvalidRequest::Kind::not_an_object:
            return "not an object";
        case InvalidRequest::Kind::not_a_json_object:
            return "not a JSON object";
        case InvalidRequest::Kind::missing:
            return "is missing";
        case InvalidRequest::Kind::invalid:
            return "is invalid";
        case InvalidRequest::Kind::missing_or_invalid:
            return "is missing or invalid";
    }
    return "is invalid";
}

}  // namespace

std::string InvalidRequest::message() const {
    const bool whole_body =
        kind == Kind::not_json || kind == Kind::not_an_object || kind == Kind::not_a_json_object;
    if (whole_body) return std::string(description(kind));
    std::string out(field.empty() ? "a field" : field);
    return out.append(" ").append(description(kind));
}

void throw_exception_from_error(const InvalidRequest& error, const boost::source_location& location) {
    static_cast<void>(location);
    throw std::invalid_argument(error.message());
}

}  // namespace pineroad::wire
