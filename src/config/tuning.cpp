#include "config/tuning.hpp"

#include <sfsexp/sexp.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include "config/settings.hpp"

namespace pineroad::config {
namespace {

// A key of the file, the field that it sets and the range of allowed values.
struct Parameter {
    const char* key;
    double Tuning::*field;
    double low, high;
};

constexpr Parameter parameters[] = {
    {"suspension-factor", &Tuning::preemption_factor, 1.0, 100.0},
    {"suspension-period", &Tuning::preemption_period_s, 1.0, 3600.0},
    {"width-ratio", &Tuning::max_victim_width_ratio, 0.1, 100.0},
    {"category-multiplier", &Tuning::category_multiplier, 1.0, 100.0},
    {"category-width", &Tuning::category_width_cpus, 1.0, 100000.0},
    {"category-length", &Tuning::category_length_s, 1.0, 86400.0},
    {"holding-wait", &Tuning::reservation_wait_s, 1.0, 86400.0},
    {"image-band", &Tuning::image_locality_band, 1.0, 100.0},
    {"idle-hold", &Tuning::idle_timeout_s, 0.0, 86400.0},
    {"headroom", &Tuning::headroom_factor, 0.0, 100.0},
    {"drain", &Tuning::drain_boot_times, 0.0, 100.0},
    {"price-patience", &Tuning::price_ratio_exponent, 0.0, 4.0},
    {"queue-patience", &Tuning::queue_slack_share, 0.0, 10.0},
};

struct SexpDeleter {
    void operator()(sexp_t* expression) const { destroy_sexp(expression); }
};

const Parameter* find_parameter(const std::string& key) {
    for (const auto& parameter : parameters)
        if (key == parameter.key) return &parameter;
    return nullptr;
}

// Parses one text and reports errors with its path and line.
class TuningParser {
   public:
    TuningParser(const std::string& text, const std::string& path) : text_(text), path_(path) {}

    [[nodiscard]] Tuning parse() const;

   private:
    [[noreturn]] void fail(std::size_t line, const std::string& what) const {
        throw SettingsError(path_ + ":" + std::to_string(line) + ": " + what);
    }
    // Returns the line of a key. The S-expression parser keeps no positions, so this is its first occurrence.
    [[nodiscard]] std::size_t line_of(const std::string& key) const;
    void read_item(const sexp_t& item, std::set<std::string>& seen, Tuning& tuning) const;
    [[nodiscard]] double number(const Parameter& parameter, const char* value, std::size_t line) const;

    const std::string& text_;
    const std::string& path_;
};

std::size_t TuningParser::line_of(const std::string& key) const {
    const auto position = text_.find("(" + key);
    if (position == std::string::npos) return 1;
    const auto newlines =
        std::count(text_.begin(), text_.begin() + static_cast<std::ptrdiff_t>(position), '\n');
    return 1 + static_cast<std::size_t>(newlines);
}

double TuningParser::number(const Parameter& parameter, const char* value, std::size_t line) const {
    const std::string key = parameter.key;
    char* end = nullptr;
    const double number = std::strtod(value, &end);
    if (end == value || *end || !std::isfinite(number)) fail(line, key + ": a number is needed");
    if (number < parameter.low || number > parameter.high) {
        std::ostringstream out;
        out << key << ": must lie between " << parameter.low << " and " << parameter.high;
        fail(line, out.str());
    }
    return number;
}

void TuningParser::read_item(const sexp_t& item, std::set<std::string>& seen, Tuning& tuning) const {
    const sexp_t* key = item.ty == SEXP_LIST ? item.list : nullptr;
    if (!key || key->ty != SEXP_VALUE) fail(1, "(KEY VALUE) is needed");
    const std::string name = key->val;
    const auto line = line_of(name);
    const sexp_t* value = key->next;
    if (!value || value->ty != SEXP_VALUE || value->next) fail(line, name + ": one value is needed");
    const auto* parameter = find_parameter(name);
    if (!parameter) fail(line, name + ": unknown key");
    if (!seen.insert(name).second) fail(line, name + ": given twice");
    tuning.*(parameter->field) = number(*parameter, value->val, line);
}

Tuning TuningParser::parse() const {
    std::string buffer = text_;  // the library parses in place
    const std::unique_ptr<sexp_t, SexpDeleter> root(parse_sexp(buffer.data(), buffer.size()));
    const sexp_t* head = root && root->ty == SEXP_LIST ? root->list : nullptr;
    if (!head || head->ty != SEXP_VALUE || std::string(head->val) != "pineroad")
        fail(1, "(pineroad (KEY VALUE) ...) is needed");
    Tuning tuning;
    std::set<std::string> seen;
    for (const sexp_t* item = head->next; item; item = item->next) read_item(*item, seen, tuning);
    return tuning;
}

}  // namespace

Tuning parse_tuning(const std::string& text, const std::string& path) {
    return TuningParser(text, path).parse();
}

Tuning load_tuning(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw SettingsError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_tuning(text.str(), path);
}

}  // namespace pineroad::config
