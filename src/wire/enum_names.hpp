// Tables that map enumeration values to their names on the wire and back.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pineroad::wire {

// One table row: an enumeration value and its name on the wire.
template <class Enum>
struct EnumName {
    std::string_view name;
    Enum value;
};

// All names of an enumeration, built with std::to_array.
template <class Enum, std::size_t Size>
using EnumTable = std::array<EnumName<Enum>, Size>;

// Returns the value with the given name; std::nullopt if there is no name or the table does not contain it.
template <class Enum, std::size_t Size>
std::optional<Enum> value_of(const EnumTable<Enum, Size>& table, const std::optional<std::string>& name) {
    if (!name) return std::nullopt;
    for (const auto& row : table) {
        if (row.name == *name) return row.value;
    }
    return std::nullopt;
}

// Returns the name of the value; an empty string if the value is not in the table.
template <class Enum, std::size_t Size>
std::string_view name_of(const EnumTable<Enum, Size>& table, Enum value) {
    for (const auto& row : table) {
        if (row.value == value) return row.name;
    }
    return {};
}

}  // namespace pineroad::wire
