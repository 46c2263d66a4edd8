#include "wire/json_reader.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cmath>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::wire {

std::optional<Json> parse_json(std::string_view text) {
    boost::system::error_code error;
    auto value = boost::json::parse({text.data(), text.size()}, error);
    if (error) return std::nullopt;
    return value;
}

std::optional<boost::json::object> parse_object(std::string_view text) {
    auto document = parse_json(text);
    if (!document || !document->is_object()) return std::nullopt;
    return std::move(document->get_object());
}

namespace read {

const Json* field(const boost::json::object& object, std::string_view key) {
    const auto* value = object.if_contains(key);
    return value && !value->is_null() ? value : nullptr;
}

const boost::json::array* list(const boost::json::object& object, std::string_view key) {
    const auto* value = field(object, key);
    return value ? value->if_array() : nullptr;
}

std::optional<double> number(const Json* value) {
    if (!value || !value->is_number()) return std::nullopt;
    const double number = value->is_double()  ? value->get_double()
                          : value->is_int64() ? static_cast<double>(value->get_int64())
                                              : static_cast<double>(value->get_uint64());
    return std::isfinite(number) ? std::optional(number) : std::nullopt;
}

std::optional<double> number(const boost::json::object& object, std::string_view key) {
    return number(field(object, key));
}

std::optional<double> amount(const Json* value) {
    const auto unbounded = number(value);
    if (!unbounded) return std::nullopt;
    return std::clamp(*unbounded, 0.0, constants::max_amount);
}

std::optional<double> amount(const boost::json::object& object, std::string_view key) {
    return amount(field(object, key));
}

std::optional<std::uint64_t> unsigned_integer(const Json* value) {
    if (!value) return std::nullopt;
    if (value->is_uint64()) return value->get_uint64();
    if (value->is_int64() && value->get_int64() >= 0) return static_cast<std::uint64_t>(value->get_int64());
    return std::nullopt;
}

std::optional<std::uint64_t> unsigned_integer(const boost::json::object& object, std::string_view key) {
    return unsigned_integer(field(object, key));
}

std::optional<std::uint32_t> bounded_integer(const Json* value, std::uint32_t max) {
    const auto integer = unsigned_integer(value);
    if (!integer || *integer > max) return std::nullopt;
    return static_cast<std::uint32_t>(*integer);
}

std::optional<std::int64_t> unix_time_ms(const boost::json::object& object, std::string_view key) {
    const auto milliseconds = unsigned_integer(object, key);
    if (!milliseconds) return std::nullopt;
    constexpr std::uint64_t max = constants::max_unix_time_ms;
    return static_cast<std::int64_t>(std::min(*milliseconds, max));
}

std::optional<std::string> text(const boost::json::object& object, std::string_view key) {
    const auto* value = field(object, key);
    if (!value || !value->is_string()) return std::nullopt;
    return std::string(value->get_string());
}

std::optional<bool> flag(const boost::json::object& object, std::string_view key) {
    const auto* value = field(object, key);
    if (!value || !value->is_bool()) return std::nullopt;
    return value->get_bool();
}

}  // namespace read
}  // namespace pineroad::wire
