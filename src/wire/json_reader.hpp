// Strictly typed access to JSON: each function returns a value of exactly the requested type, or nothing. A
// null field counts as missing; unknown fields are ignored. Used by the protocols and the stored records.
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pineroad::wire {

using Json = boost::json::value;

// Parses a JSON document. Returns std::nullopt if the text is not valid JSON.
std::optional<Json> parse_json(std::string_view text);
// Parses a JSON object. Returns std::nullopt if the text is not valid JSON or not an object.
std::optional<boost::json::object> parse_object(std::string_view text);

namespace read {

// Returns the field's value; nullptr if the field is missing or JSON null.
const Json* field(const boost::json::object& object, std::string_view key);
// Returns the field's value as an array; nullptr if the field is missing or not an array.
const boost::json::array* list(const boost::json::object& object, std::string_view key);
// Returns the value as a number, whether it is stored as an integer or as a double. Returns std::nullopt if
// `value` is null, not a number or not finite.
std::optional<double> number(const Json* value);
// Returns the field's value as a number, in the same way.
std::optional<double> number(const boost::json::object& object, std::string_view key);
// Returns the value as an amount: a number from 0 to constants::max_amount, to which a number outside this
// range is moved. Returns std::nullopt where number() does.
std::optional<double> amount(const Json* value);
// Returns the field's value as an amount, in the same way.
std::optional<double> amount(const boost::json::object& object, std::string_view key);
// Returns the value as an unsigned integer; std::nullopt if `value` is null or not an integer from 0 to
// 2^64 - 1.
std::optional<std::uint64_t> unsigned_integer(const Json* value);
// Returns the field's value as an unsigned integer, in the same way.
std::optional<std::uint64_t> unsigned_integer(const boost::json::object& object, std::string_view key);
// Returns the value as an integer from 0 to `max`; std::nullopt if `value` is null or anything else.
std::optional<std::uint32_t> bounded_integer(const Json* value, std::uint32_t max);
// Returns the field's value as a time of day in milliseconds since the Unix epoch, at most
// constants::max_unix_time_ms; std::nullopt if it is missing or not an unsigned integer.
std::optional<std::int64_t> unix_time_ms(const boost::json::object& object, std::string_view key);
// Returns the field's value as a string, which may be empty; std::nullopt if it is missing or not a string.
std::optional<std::string> text(const boost::json::object& object, std::string_view key);
// Returns the field's value as a Boolean; std::nullopt if it is missing or not a Boolean.
std::optional<bool> flag(const boost::json::object& object, std::string_view key);

}  // namespace read
}  // namespace pineroad::wire
