#include "config/toml_section.hpp"

#include <cmath>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace pineroad::config {

void TomlSection::fail(const std::string& key, const std::string& what) const {
    std::ostringstream out;
    const auto* node = table_.get(key);
    const auto line = node ? node->source().begin.line : table_.source().begin.line;
    out << file_ << ":" << line << ": " << path_ << key << ": " << what;
    throw SettingsError(out.str());
}

std::string TomlSection::read_text(const std::string& key) const {
    auto value = table_[key].value<std::string>();
    if (!value || value->empty()) fail(key, "a non-empty string is needed");
    return *value;
}

std::vector<std::string> TomlSection::read_texts(const std::string& key) const {
    const auto* array = table_[key].as_array();
    if (!array) fail(key, "an array of strings is needed");
    std::vector<std::string> values;
    for (const auto& node : *array) {
        auto value = node.value<std::string>();
        if (!value) fail(key, "an array of strings is needed");
        values.push_back(*value);
    }
    return values;
}

std::optional<double> TomlSection::read_optional_number(const std::string& key, double low,
                                                        double high) const {
    if (!table_.contains(key)) return std::nullopt;
    auto value = table_[key].is_number() ? table_[key].value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value)) fail(key, "a number is needed");
    if (*value < low || *value > high) {
        std::ostringstream out;
        out << "must lie between " << low << " and " << high;
        fail(key, out.str());
    }
    return value;
}

double TomlSection::read_number(const std::string& key, double low, double high) const {
    const auto value = read_optional_number(key, low, high);
    if (!value) fail(key, "is missing");
    return *value;
}

Endpoint TomlSection::read_endpoint(const std::string& key) const {
    try {
        return parse_endpoint(read_text(key));
    } catch (const std::invalid_argument& error) {
        fail(key, error.what());
    }
}

TomlSection TomlSection::read_table(const std::string& key) const {
    const auto* table = table_[key].as_table();
    if (!table) fail(key, "a table is needed");
    return {*table, path_ + key + ".", file_};
}

std::vector<TomlSection> TomlSection::read_tables(const std::string& key) const {
    if (!has(key)) return {};
    const auto* array = table_[key].as_array();
    if (!array) fail(key, "an array of tables is needed");
    std::vector<TomlSection> sections;
    for (const auto& node : *array) {
        const auto* table = node.as_table();
        if (!table) fail(key, "an array of tables is needed");
        std::string path = path_;
        path.append(key).append("[").append(std::to_string(sections.size())).append("].");
        sections.emplace_back(*table, std::move(path), file_);
    }
    return sections;
}

}  // namespace pineroad::config
