#include "wire/field_reader.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::wire {

void FieldReader::reject(std::string_view key) {
    if (!error_) error_ = InvalidRequest{InvalidRequest::Kind::missing_or_invalid, key};
}

void FieldReader::read_text(std::string_view key, std::string& into) {
    auto text = read::text(object_, key);
    if (!text || text->empty() || text->size() > constants::max_name_bytes) return reject(key);
    into = std::move(*text);
}

void FieldReader::read_amount(std::string_view key, double& into) {
    const auto number = read::number(object_, key);
    if (!number || *number < 0) return reject(key);
    into = std::min(*number, constants::max_amount);
}

void FieldReader::read_flag(std::string_view key, bool& into) {
    const auto flag = read::flag(object_, key);
    if (!flag) return reject(key);
    into = *flag;
}

void FieldReader::read_count(std::string_view key, std::uint32_t min, std::uint32_t max,
                             std::uint32_t& into) {
    const auto count = read::bounded_integer(field(key), max);
    if (!count || *count < min) return reject(key);
    into = *count;
}

void FieldReader::read_optional_text(std::string_view key, std::optional<std::string>& into) {
    if (!field(key)) return;
    read_text(key, into.emplace());
}

void FieldReader::read_optional_amount(std::string_view key, std::optional<double>& into) {
    if (!field(key)) return;
    read_amount(key, into.emplace());
}

}  // namespace pineroad::wire
