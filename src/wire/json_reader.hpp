// Strict reading of JSON: each function gives a value of exactly the asked kind, or nothing. A field that is
// null counts as missing, and fields that nobody asks for are ignored. Shared by the protocols and by the
// service's own records.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pineroad::wire {

using Json = boost::json::value;

// The document; nothing if the text is not JSON.
std::optional<Json> parse_json(std::string_view text);
// The document as an object; nothing if the text is not JSON or not an object.
std::optional<boost::json::object> parse_object(std::string_view text);

namespace read {

// The field's value, or null where the field is missing or JSON's null.
const Json* field(const boost::json::object& object, std::string_view key);
// The field's value as an array, or null where the field is missing or something else.
const boost::json::array* list(const boost::json::object& object, std::string_view key);
// A finite number of any form.
std::optional<double> number(const Json* value);
// The same of a field.
std::optional<double> number(const boost::json::object& object, std::string_view key);
// An integer from 0 to 2^64 - 1.
std::optional<std::uint64_t> count(const Json* value);
// The same of a field.
std::optional<std::uint64_t> count(const boost::json::object& object, std::string_view key);
// A string, which may be empty.
std::optional<std::string> text(const boost::json::object& object, std::string_view key);
// True or false.
std::optional<bool> flag(const boost::json::object& object, std::string_view key);

}  // namespace read
}  // namespace pineroad::wire
