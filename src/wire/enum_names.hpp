// Enumerations on the wire: tables of a value's name, read in both directions.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace pineroad::wire {

// One row of a table: a value and its name on the wire.
template <class Enum>
struct EnumName {
    std::string_view name;
    Enum value;
};

// All rows of an enumeration; std::to_array makes it.
template <class Enum, std::size_t Size>
using EnumTable = std::array<EnumName<Enum>, Size>;

// The value of that name; nothing if there is no name or the table doesn't know it.
template <class Enum, std::size_t Size>
std::optional<Enum> value_of(const EnumTable<Enum, Size>& table, const std::optional<std::string>& name) {
    if (!name) return std::nullopt;
    for (const auto& row : table) {
        if (row.name == *name) return row.value;
    }
    return std::nullopt;
}

// The name of that value; empty if the table doesn't hold it.
template <class Enum, std::size_t Size>
std::string_view name_of(const EnumTable<Enum, Size>& table, Enum value) {
    for (const auto& row : table) {
        if (row.value == value) return row.name;
    }
    return {};
}

}  // namespace pineroad::wire
