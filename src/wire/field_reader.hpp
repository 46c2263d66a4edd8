// Reads the fields of a request one by one into plain data and keeps the first problem it meets, so that the
// reading of a large request is a list of fields.
#pragma once

#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/enum_names.hpp"
#include "wire/invalid_request.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire {

// Reader of one object, which must outlive it. A field that is missing or invalid leaves its destination
// unchanged. Keys are literals: the problem refers to them.
class FieldReader {
   public:
    // Reads from that object.
    explicit FieldReader(const boost::json::object& object) : object_(object) {}

    // A string of 1 to constants::max_text bytes.
    void read_text(std::string_view key, std::string& into);
    // A finite number, not negative.
    void read_amount(std::string_view key, double& into);
    // True or false.
    void read_flag(std::string_view key, bool& into);
    // An integer within the bounds, both included.
    void read_count(std::string_view key, std::uint32_t min, std::uint32_t max, std::uint32_t& into);
    // A name of the table.
    template <class Enum, std::size_t Size>
    void read_enum(std::string_view key, const EnumTable<Enum, Size>& table, Enum& into) {
        const auto value = value_of(table, read::text(object_, key));
        if (!value) return reject(key);
        into = *value;
    }
    // As read_text, but null and missing are valid and leave nothing.
    void read_optional_text(std::string_view key, std::optional<std::string>& into);
    // As read_amount, but null and missing are valid and leave nothing.
    void read_optional_amount(std::string_view key, std::optional<double>& into);

    // The field's value for a reader of the caller's own; null where the field is missing or JSON's null.
    [[nodiscard]] const Json* field(std::string_view key) const { return read::field(object_, key); }
    // Takes the field for missing or invalid. Later problems are not kept.
    void reject(std::string_view key);
    // The first problem met so far.
    [[nodiscard]] const std::optional<InvalidRequest>& error() const { return error_; }

   private:
    const boost::json::object& object_;
    std::optional<InvalidRequest> error_;
};

}  // namespace pineroad::wire
