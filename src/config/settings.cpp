#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace pineroad::config {
namespace {

// Reads keys of one table and names key and line in every complaint.
class Section {
   public:
    Section(const toml::table& table, std::string path, const std::string& file)
        : table_(table), path_(std::move(path)), file_(file) {}

    [[noreturn]] void fail(const std::string& key, const std::string& what) const {
        std::ostringstream out;
        const auto* node = table_.get(key);
        out << file_ << ":" << (node ? node->source().begin.line : table_.source().begin.line) << ": "
            << path_ << key << ": " << what;
        throw SettingsError(out.str());
    }
    std::string text(const std::string& key) const {
        auto v = table_[key].value<std::string>();
        if (!v || v->empty()) fail(key, "a non-empty string is needed");
        return *v;
    }
    std::optional<double> number(const std::string& key, double low, double high) const {
        if (!table_.contains(key)) return std::nullopt;
        auto v = table_[key].is_number() ? table_[key].value<double>() : std::nullopt;
        if (!v || !std::isfinite(*v)) fail(key, "a number is needed");
        if (*v < low || *v > high) {
            std::ostringstream out;
            out << "must lie between " << low << " and " << high;
            fail(key, out.str());
        }
        return v;
    }
    double task_resources(const std::string& key, double low, double high) const {
        auto v = number(key, low, high);
        if (!v) fail(key, "is missing");
        return *v;
    }
    Endpoint endpoint(const std::string& key) const {
        try {
            return parse_endpoint(text(key));
        } catch (const std::invalid_argument& e) {
            fail(key, e.what());
        }
    }
    bool has(const std::string& key) const { return table_.contains(key); }
    Section sub(const std::string& key) const {
        const auto* t = table_[key].as_table();
        if (!t) fail(key, "a table is needed");
        return {*t, path_ + key + ".", file_};
    }
    template <class F>
    void each(const std::string& key, F&& f) const {
        if (!table_.contains(key)) return;
        const auto* a = table_[key].as_array();
        if (!a) fail(key, "an array of tables is needed");
        int n = 0;
        for (const auto& node : *a) {
            const auto* t = node.as_table();
            if (!t) fail(key, "an array of tables is needed");
            f(Section(*t, path_ + key + "[" + std::to_string(n++) + "].", file_));
        }
    }
    std::vector<std::string> texts(const std::string& key) const {
        const auto* a = table_[key].as_array();
        if (!a) fail(key, "an array of strings is needed");
        std::vector<std::string> out;
        for (const auto& node : *a) {
            auto v = node.value<std::string>();
            if (!v) fail(key, "an array of strings is needed");
            out.push_back(*v);
        }
        return out;
    }

   private:
    const toml::table& table_;
    std::string path_;
    const std::string& file_;
};

constexpr double amount_max = 1e9;

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) throw std::invalid_argument("HOST:PORT is needed");
    Endpoint e;
    e.host = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
        std::stoul(port) > 65535 || std::stoul(port) == 0)
        throw std::invalid_argument("HOST:PORT is needed");
    e.port = static_cast<std::uint16_t>(std::stoul(port));
    return e;
}

Settings parse_settings(const std::string& text, const std::string& path) {
    toml::table doc;
    try {
        doc = toml::parse(text, path);
    } catch (const toml::parse_error& e) {
        std::ostringstream out;
        out << path << ":" << e.source().begin.line << ": " << e.description();
        throw SettingsError(out.str());
    }
    Settings s;
    const Section root(doc, "", path);
    s.name = root.text("host_name");
    s.zone = root.text("site");
    s.public_endpoint = root.endpoint("front");
    s.peer_endpoint = root.endpoint("mesh_addr");
    root.each("peers", [&](const Section& p) {
        s.peers.push_back({p.text("host_name"), p.text("site"), p.endpoint("endpoint")});
    });
    const auto ext = root.sub("external");
    s.cloud_endpoint = ext.endpoint("cloud");
    s.store_endpoint = ext.endpoint("state");
    const auto params = root.sub("params");
    s.zones = params.texts("zones");
    s.time_bound_ms = params.number("time_bound_ms", 0, 1e7).value_or(0);
    params.each("teams", [&](const Section& t) {
        auto opt = [&](const char* k) { return t.number(k, 0, amount_max).value_or(0); };
        s.teams.push_back({t.text("name"), opt("cpus"), opt("cpus_max"), opt("gpus"), opt("gpus_max")});
    });
    params.each("objectives", [&](const Section& o) {
        s.objectives.push_back({o.text("kind"), o.text("class"), o.number("within_s", 0, amount_max),
                                o.number("share", 0, 1), o.number("times", 0, amount_max)});
    });
    const auto w = params.sub("workers");
    s.heartbeat_period_s = w.task_resources("report_s", 0.1, 3600);
    s.worker_lease_s = w.task_resources("lease_s", 1, 86400);
    s.gang_start_timeout_s = w.task_resources("gang_wait_s", 0, 86400);
    s.gang_failure_detection_s = w.task_resources("gang_peer_s", 0, 86400);
    s.cancellation_timeout_s = w.task_resources("cancel_s", 1, 86400);
    const auto st = params.sub("state");
    s.store_requests_per_s = st.task_resources("rps", 1, amount_max);
    s.store_writes_per_s = st.task_resources("write_rps", 1, amount_max);
    s.value_kb = st.task_resources("value_kb", 1, 1e6);
    s.max_transaction_changes = static_cast<int>(st.task_resources("txn_ops", 4, 1e6));
    s.current_value_kb = s.value_kb;
    if (st.has("next")) {
        const auto next = st.sub("next");
        s.store_requests_per_s = std::min(s.store_requests_per_s,
                                          next.number("rps", 1, amount_max).value_or(s.store_requests_per_s));
        s.store_writes_per_s = std::min(
            s.store_writes_per_s, next.number("write_rps", 1, amount_max).value_or(s.store_writes_per_s));
        s.value_kb = std::min(s.value_kb, next.number("value_kb", 1, 1e6).value_or(s.value_kb));
        s.max_transaction_changes =
            std::min(s.max_transaction_changes,
                     static_cast<int>(next.number("txn_ops", 4, 1e6).value_or(s.max_transaction_changes)));
    }
    const auto c = params.sub("cloud");
    s.cloud_requests_per_s = c.task_resources("rps", 0.1, amount_max);
    s.list_lag_s = c.task_resources("list_lag_s", 0, 86400);
    const auto l = params.sub("limits");
    s.cpu_share = l.task_resources("cpu_share", 0.001, 1024);
    s.memory_mb = l.task_resources("memory_mb", 16, 1e9);
    s.max_sockets = static_cast<int>(l.task_resources("max_sockets", 32, 1e7));
    return s;
}

Settings load_settings(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw SettingsError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), path);
}

}  // namespace pineroad::config
