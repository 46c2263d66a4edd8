// The platform's settings file (TOML). Unknown keys are ignored; wrong ones are named with their line.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace pineroad::config {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

struct Peer {
    std::string name, zone;
    Endpoint endpoint;
};

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: none
};

struct Objective {
    std::string kind, job_class;
    std::optional<double> within_s, share, times;
};

struct Settings {
    std::string name, zone;
    Endpoint public_endpoint, peer_endpoint, cloud_endpoint, store_endpoint;
    std::vector<Peer> peers;
    std::vector<std::string> zones;
    double time_bound_ms = 0;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double heartbeat_period_s = 3, worker_lease_s = 30, gang_start_timeout_s = 30,
           gang_failure_detection_s = 5, cancellation_timeout_s = 60;
    // Limits of the state service: the smaller of those in force and those announced for later, since the
    // change comes without notice.
    double store_requests_per_s = 100, store_writes_per_s = 20, value_kb = 8;
    int max_transaction_changes = 12;
    double current_value_kb = 8;  // in force now
    double cloud_requests_per_s = 5, list_lag_s = 5;
    double cpu_share = 1, memory_mb = 200;
    int max_sockets = 1000;

    [[nodiscard]] const Team* team(const std::string& name) const {
        for (const auto& t : teams)
            if (t.name == name) return &t;
        return nullptr;
    }
};

Settings load_settings(const std::string& path);
Settings parse_settings(const std::string& text, const std::string& path);
Endpoint parse_endpoint(const std::string& text);

}  // namespace pineroad::config
