// Typed access to one table of a TOML document, with errors that name the file, line and key.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace pineroad::config {

// One table and its location in the document. The accessors throw SettingsError if the value of the key is
// missing or has the wrong type, unless stated otherwise. Keeps references to the document and the file name,
// which must outlive this object.
class TomlSection {
   public:
    // `path` is the prefix of the table's keys in errors, such as "params.state."; `file` is the file name.
    TomlSection(const toml::table& table, std::string path, const std::string& file)
        : table_(table), path_(std::move(path)), file_(file) {}

    // Throws a SettingsError about this key.
    [[noreturn]] void fail(const std::string& key, const std::string& what) const;
    // Returns whether the key exists, with a value of any type.
    [[nodiscard]] bool has(const std::string& key) const { return table_.contains(key); }
    // Returns a string, which must not be empty.
    [[nodiscard]] std::string read_text(const std::string& key) const;
    // Returns an array of strings.
    [[nodiscard]] std::vector<std::string> read_texts(const std::string& key) const;
    // Returns a number from `low` to `high`, or nothing if the key is missing.
    [[nodiscard]] std::optional<double> read_optional_number(const std::string& key, double low,
                                                             double high) const;
    // Returns a number from `low` to `high`; the key is required.
    [[nodiscard]] double read_number(const std::string& key, double low, double high) const;
    // Returns an endpoint, given as HOST:PORT.
    [[nodiscard]] Endpoint read_endpoint(const std::string& key) const;
    // Returns a nested table.
    [[nodiscard]] TomlSection read_table(const std::string& key) const;
    // Returns the tables of an array; none if the key is missing.
    [[nodiscard]] std::vector<TomlSection> read_tables(const std::string& key) const;

   private:
    const toml::table& table_;
    std::string path_;
    const std::string& file_;
};

}  // namespace pineroad::config
