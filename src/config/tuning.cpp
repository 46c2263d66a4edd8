#include "config/tuning.hpp"

#include <sfsexp/sexp.h>

#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>

#include "config/settings.hpp"

namespace pineroad::config {
namespace {

struct Entry {
    const char* key;
    double Tuning::*field;
    double low, high;
};

constexpr Entry entries[] = {
    {"suspension-factor", &Tuning::preemption_factor, 1.0, 100.0},
    {"suspension-period", &Tuning::preemption_period_s, 1.0, 3600.0},
    {"width-ratio", &Tuning::width_ratio, 0.1, 100.0},
    {"category-multiplier", &Tuning::category_multiplier, 1.0, 100.0},
    {"category-width", &Tuning::category_width_cpus, 1.0, 100000.0},
    {"category-length", &Tuning::category_length_s, 1.0, 86400.0},
    {"holding-wait", &Tuning::reservation_wait_s, 1.0, 86400.0},
    {"image-band", &Tuning::image_locality_band, 1.0, 100.0},
    {"idle-hold", &Tuning::idle_timeout_s, 0.0, 86400.0},
    {"headroom", &Tuning::headroom, 0.0, 100.0},
    {"drain", &Tuning::drain_boot_times, 0.0, 100.0},
    {"price-patience", &Tuning::price_patience, 0.0, 4.0},
    {"queue-patience", &Tuning::queue_patience, 0.0, 10.0},
};

struct SexpFree {
    void operator()(sexp_t* s) const { destroy_sexp(s); }
};

// The parser keeps no positions: the line of a key is found by its first mention.
std::size_t line_of(const std::string& text, const std::string& key) {
    const auto at = text.find(key);
    std::size_t line = 1;
    for (std::size_t i = 0; at != std::string::npos && i < at; ++i) line += text[i] == '\n';
    return line;
}

[[noreturn]] void fail(const std::string& path, std::size_t line, const std::string& what) {
    throw SettingsError(path + ":" + std::to_string(line) + ": " + what);
}

}  // namespace

Tuning parse_tuning(const std::string& text, const std::string& path) {
    std::string copy = text;  // the library parses a writable buffer
    const std::unique_ptr<sexp_t, SexpFree> root(parse_sexp(copy.data(), copy.size()));
    if (!root || root->ty != SEXP_LIST || !root->list || root->list->ty != SEXP_VALUE ||
        std::string(root->list->val) != "pineroad")
        fail(path, 1, "(pineroad (KEY VALUE) ...) is needed");
    Tuning t;
    std::set<std::string> seen;
    for (const sexp_t* item = root->list->next; item; item = item->next) {
        const sexp_t* key = item->ty == SEXP_LIST ? item->list : nullptr;
        if (!key || key->ty != SEXP_VALUE) fail(path, 1, "(KEY VALUE) is needed");
        const std::string name = key->val;
        const auto line = line_of(text, "(" + name);
        const sexp_t* value = key->next;
        if (!value || value->ty != SEXP_VALUE || value->next)
            fail(path, line, name + ": one value is needed");
        const Entry* entry = nullptr;
        for (const auto& e : entries)
            if (name == e.key) entry = &e;
        if (!entry) fail(path, line, name + ": unknown key");
        if (!seen.insert(name).second) fail(path, line, name + ": given twice");
        char* end = nullptr;
        const double v = std::strtod(value->val, &end);
        if (end == value->val || *end || !std::isfinite(v)) fail(path, line, name + ": a number is needed");
        if (v < entry->low || v > entry->high) {
            std::ostringstream out;
            out << name << ": must lie between " << entry->low << " and " << entry->high;
            fail(path, line, out.str());
        }
        t.*(entry->field) = v;
    }
    return t;
}

Tuning load_tuning(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw SettingsError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_tuning(text.str(), path);
}

}  // namespace pineroad::config
