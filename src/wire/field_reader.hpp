// Reads and validates the fields of a request one by one and keeps the first error, so that callers need not
// check after every field.
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

// Reads the fields of one JSON object, which must outlive the reader. A missing or invalid field leaves its
// destination unchanged. Keys must be string literals, because the error refers to them.
class FieldReader {
   public:
    // Creates a reader of the object's fields.
    explicit FieldReader(const boost::json::object& object) : object_(object) {}

    // Reads a string of 1 to constants::max_name_bytes bytes.
    void read_text(std::string_view key, std::string& into);
    // Reads a finite, non-negative number. One above constants::max_amount counts as this: the protocol sets
    // no upper bound, so such a job is accepted.
    void read_amount(std::string_view key, double& into);
    // Reads a Boolean.
    void read_flag(std::string_view key, bool& into);
    // Reads an integer from `min` to `max`, both inclusive.
    void read_count(std::string_view key, std::uint32_t min, std::uint32_t max, std::uint32_t& into);
    // Reads a name that the table contains.
    template <class Enum, std::size_t Size>
    void read_enum(std::string_view key, const EnumTable<Enum, Size>& table, Enum& into) {
        const auto value = value_of(table, read::text(object_, key));
        if (!value) return reject(key);
        into = *value;
    }
    // Reads a string as read_text() does, but accepts a missing or null field and then leaves `into`
    // unchanged.
    void read_optional_text(std::string_view key, std::optional<std::string>& into);
    // Reads a number as read_amount() does, but accepts a missing or null field and then leaves `into`
    // unchanged.
    void read_optional_amount(std::string_view key, std::optional<double>& into);

    // Returns the field's value for callers that parse it themselves; nullptr if it is missing or JSON null.
    [[nodiscard]] const Json* field(std::string_view key) const { return read::field(object_, key); }
    // Records that the field is missing or invalid, unless an earlier error was recorded.
    void reject(std::string_view key);
    // Returns the first error so far.
    [[nodiscard]] const std::optional<InvalidRequest>& error() const { return error_; }

   private:
    const boost::json::object& object_;
    std::optional<InvalidRequest> error_;
};

}  // namespace pineroad::wire
