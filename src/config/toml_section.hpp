// Typed reading of one table of a TOML document, with errors that name file, line and key.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace pineroad::config {

// One table, and where it stands in the document. Every function throws SettingsError when the key's value is
// not of the form it reads. Refers to the document and the file's name, which must outlive it.
class TomlSection {
   public:
    // `path` is that of the table's keys in errors, such as "params.state."; `file` is the document's name.
    TomlSection(const toml::table& table, std::string path, const std::string& file)
        : table_(table), path_(std::move(path)), file_(file) {}

    // Throws an error about this key.
    [[noreturn]] void fail(const std::string& key, const std::string& what) const;
    // Whether the key is there, with a value of any type.
    [[nodiscard]] bool has(const std::string& key) const { return table_.contains(key); }
    // A string that must not be empty.
    [[nodiscard]] std::string text(const std::string& key) const;
    // An array of strings.
    [[nodiscard]] std::vector<std::string> texts(const std::string& key) const;
    // A number from `low` to `high`, or nothing if the key is missing.
    [[nodiscard]] std::optional<double> number(const std::string& key, double low, double high) const;
    // A number from `low` to `high` that must be there.
    [[nodiscard]] double required_number(const std::string& key, double low, double high) const;
    // An endpoint, as HOST:PORT.
    [[nodiscard]] Endpoint endpoint(const std::string& key) const;
    // A table inside this one.
    [[nodiscard]] TomlSection table(const std::string& key) const;
    // The tables of an array; none if the key is missing.
    [[nodiscard]] std::vector<TomlSection> tables(const std::string& key) const;

   private:
    const toml::table& table_;
    std::string path_;
    const std::string& file_;
};

}  // namespace pineroad::config
