#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "config/constants.hpp"
#include "config/toml_section.hpp"

namespace pineroad::config {
namespace {

using constants::max_amount;

constexpr double max_duration_s = 86400;  // upper bound of durations

ObjectiveKind parse_objective_kind(const std::string& text) {
    if (text == "wait") return ObjectiveKind::start;
    if (text == "finished") return ObjectiveKind::finish;
    if (text == "deadline") return ObjectiveKind::deadline;
    return ObjectiveKind::unknown;
}

Team read_team(const TomlSection& team) {
    const auto amount = [&](const char* key) {
        return team.read_optional_number(key, 0, max_amount).value_or(0);
    };
    return {team.read_text("name"), amount("cpus"), amount("cpus_max"), amount("gpus"), amount("gpus_max")};
}

Objective read_objective(const TomlSection& objective) {
    return {parse_objective_kind(objective.read_text("kind")), objective.read_text("class"),
            objective.read_optional_number("within_s", 0, max_amount),
            objective.read_optional_number("share", 0, 1),
            objective.read_optional_number("times", 0, max_amount)};
}

void read_addresses(const TomlSection& root, Settings& settings) {
    settings.name = root.read_text("host_name");
    settings.zone = root.read_text("site");
    settings.public_endpoint = root.read_endpoint("front");
    settings.peer_endpoint = root.read_endpoint("mesh_addr");
    for (const auto& peer : root.read_tables("peers"))
        settings.peers.push_back(
            {peer.read_text("host_name"), peer.read_text("site"), peer.read_endpoint("endpoint")});
    const auto external = root.read_table("external");
    settings.cloud_endpoint = external.read_endpoint("cloud");
    settings.store_endpoint = external.read_endpoint("state");
}

void read_teams_and_objectives(const TomlSection& params, Settings& settings) {
    settings.zones = params.read_texts("zones");
    settings.max_clock_error_ms = params.read_optional_number("time_bound_ms", 0, 1e7).value_or(0);
    for (const auto& team : params.read_tables("teams")) settings.teams.push_back(read_team(team));
    for (const auto& objective : params.read_tables("objectives"))
        settings.objectives.push_back(read_objective(objective));
}

void read_workers(const TomlSection& workers, Settings& settings) {
    settings.heartbeat_period_s = workers.read_number("report_s", 0.1, 3600);
    settings.worker_lease_s = workers.read_number("lease_s", 1, max_duration_s);
    settings.gang_start_timeout_s = workers.read_number("gang_wait_s", 0, max_duration_s);
    settings.gang_failure_detection_s = workers.read_number("gang_peer_s", 0, max_duration_s);
    settings.cancellation_timeout_s = workers.read_number("cancel_s", 1, max_duration_s);
}

// Lowers a current limit to the announced one, if there is one.
void lower_to(double& limit, std::optional<double> announced) {
    if (announced) limit = std::min(limit, *announced);
}

void read_store_limits(const TomlSection& state, Settings& settings) {
    settings.store_requests_per_s = state.read_number("rps", 1, max_amount);
    settings.store_writes_per_s = state.read_number("write_rps", 1, max_amount);
    settings.max_value_kb = state.read_number("value_kb", 1, 1e6);
    double transaction_changes = state.read_number("txn_ops", 4, 1e6);
    settings.current_max_value_kb = settings.max_value_kb;
    if (state.has("next")) {
        const auto next = state.read_table("next");
        lower_to(settings.store_requests_per_s, next.read_optional_number("rps", 1, max_amount));
        lower_to(settings.store_writes_per_s, next.read_optional_number("write_rps", 1, max_amount));
        lower_to(settings.max_value_kb, next.read_optional_number("value_kb", 1, 1e6));
        lower_to(transaction_changes, next.read_optional_number("txn_ops", 4, 1e6));
    }
    settings.max_transaction_changes = static_cast<int>(transaction_changes);
}

void read_cloud(const TomlSection& cloud, Settings& settings) {
    settings.cloud_requests_per_s = cloud.read_number("rps", 0.1, max_amount);
    settings.list_lag_s = cloud.read_number("list_lag_s", 0, max_duration_s);
}

void read_process_limits(const TomlSection& limits, Settings& settings) {
    settings.cpu_share = limits.read_number("cpu_share", 0.001, 1024);
    settings.memory_mb = limits.read_number("memory_mb", 16, 1e9);
    settings.max_sockets = static_cast<int>(limits.read_number("max_sockets", 32, 1e7));
}

toml::table parse_document(const std::string& text, const std::string& path) {
    try {
        return toml::parse(text, path);
    } catch (const toml::parse_error& error) {
        std::ostringstream out;
        out << path << ":" << error.source().begin.line << ": " << error.description();
        throw SettingsError(out.str());
    }
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
    const std::invalid_argument malformed("HOST:PORT is needed");
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) throw malformed;
    const auto port = text.substr(colon + 1);
    constexpr std::size_t max_digits = 5;
    if (port.empty() || port.size() > max_digits) throw malformed;
    if (port.find_first_not_of("0123456789") != std::string::npos) throw malformed;
    const auto number = std::stoul(port);
    if (number == 0 || number > 65535) throw malformed;
    return {text.substr(0, colon), static_cast<std::uint16_t>(number)};
}

Settings parse_settings(const std::string& text, const std::string& path) {
    const toml::table document = parse_document(text, path);
    const TomlSection root(document, "", path);
    Settings settings;
    read_addresses(root, settings);
    const auto params = root.read_table("params");
    read_teams_and_objectives(params, settings);
    read_workers(params.read_table("workers"), settings);
    read_store_limits(params.read_table("state"), settings);
    read_cloud(params.read_table("cloud"), settings);
    read_process_limits(params.read_table("limits"), settings);
    return settings;
}

Settings load_settings(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw SettingsError(path + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), path);
}

}  // namespace pineroad::config
