// Helpers for strict reading of JSON objects, shared by the protocol and by our own records.
#pragma once

#include <boost/json.hpp>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>

namespace pineroad::wire::read {

inline const boost::json::value* field(const boost::json::object& o, std::string_view key) {
    const auto* v = o.if_contains(key);
    return v && !v->is_null() ? v : nullptr;
}
inline std::optional<double> number(const boost::json::value* v) {
    if (!v || !v->is_number()) return std::nullopt;
    const double d = v->is_double()  ? v->get_double()
                     : v->is_int64() ? static_cast<double>(v->get_int64())
                                     : static_cast<double>(v->get_uint64());
    return std::isfinite(d) ? std::optional(d) : std::nullopt;
}
inline std::optional<double> number(const boost::json::object& o, std::string_view key) {
    return number(field(o, key));
}
inline std::optional<std::uint64_t> count(const boost::json::value* v) {
    if (!v) return std::nullopt;
    if (v->is_uint64()) return v->get_uint64();
    if (v->is_int64() && v->get_int64() >= 0) return static_cast<std::uint64_t>(v->get_int64());
    return std::nullopt;
}
inline std::optional<std::uint64_t> count(const boost::json::object& o, std::string_view key) {
    return count(field(o, key));
}
inline std::optional<std::string> text(const boost::json::object& o, std::string_view key) {
    const auto* v = field(o, key);
    if (!v || !v->is_string()) return std::nullopt;
    return std::string(v->get_string());
}
inline std::optional<bool> flag(const boost::json::object& o, std::string_view key) {
    const auto* v = field(o, key);
    if (!v || !v->is_bool()) return std::nullopt;
    return v->get_bool();
}

}  // namespace pineroad::wire::read
