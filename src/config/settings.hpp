// The settings that the platform passes to each controller in a TOML file. The platform defines the names of
// the keys; they are used in settings.cpp only. Unknown keys are ignored; errors name the line of the key.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace pineroad::config {

// A settings or tuning file is invalid. The message names the file, line and key, and says what is expected.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Where a component listens.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    // Returns the endpoint as HOST:PORT.
    [[nodiscard]] std::string to_string() const { return host + ":" + std::to_string(port); }
};

// Another controller of the deployment: an entry of `peers`.
struct Peer {
    std::string name;   // host_name
    std::string zone;   // site
    Endpoint endpoint;  // endpoint: address of its peer API
};

// A team's guaranteed resources and its quota: an entry of `params.teams`. 0 means no guarantee or no quota.
struct Team {
    std::string name;     // name
    double cpus = 0;      // cpus: CPUs guaranteed
    double cpus_max = 0;  // cpus_max: CPU quota
    double gpus = 0;      // gpus: GPUs guaranteed
    double gpus_max = 0;  // gpus_max: GPU quota
};

// What a service-level objective measures.
enum class ObjectiveKind {
    start,     // "wait": time from submission to start
    finish,    // "finished": time from submission to completion
    deadline,  // "deadline": completion within a multiple of the time until the job's own deadline
    unknown    // any other value: accepted, but has no effect
};

// A service-level objective of a job class: an entry of `params.objectives`.
struct Objective {
    ObjectiveKind kind = ObjectiveKind::unknown;  // kind
    std::string job_class;                        // class
    std::optional<double> within_s;               // within_s: time limit in seconds
    std::optional<double> share;                  // share: fraction of the class's jobs that must meet it
    std::optional<double> deadline_multiple;      // times: the multiple, for ObjectiveKind::deadline
};

// The configuration of a controller and its deployment. The comment of each field names its key. Durations
// are in seconds unless the name ends in another unit.
struct Settings {
    std::string name;                // host_name: this controller
    std::string zone;                // site: the zone it runs in
    Endpoint public_endpoint;        // front: API for users and workers, and health checks
    Endpoint peer_endpoint;          // mesh_addr: API for the other controllers
    Endpoint cloud_endpoint;         // external.cloud
    Endpoint store_endpoint;         // external.state: the consensus-backed key-value store
    std::vector<Peer> peers;         // peers: the other controllers
    std::vector<std::string> zones;  // params.zones: where machines can be provisioned
    double max_clock_error_ms = 0;   // params.time_bound_ms: maximum error of the time of day; 0: not given
    std::vector<Team> teams;         // params.teams
    std::vector<Objective> objectives;  // params.objectives

    // params.workers.report_s: time between heartbeats of one machine.
    double heartbeat_period_s = 3;
    // params.workers.lease_s: a worker that gets no response for this long ends its tasks.
    double worker_lease_s = 30;
    // params.workers.gang_wait_s: how long a started task waits for its gang.
    double gang_start_timeout_s = 30;
    // params.workers.gang_peer_s: time within which the tasks of a gang notice the loss of one.
    double gang_failure_detection_s = 5;
    // params.workers.cancel_s: time within which a cancelled job must have ended.
    double cancellation_timeout_s = 60;

    // Limits of the store: the smaller of the current ones (params.state) and the announced ones
    // (params.state.next), because the change takes effect without notice.
    double store_requests_per_s = 100;  // rps: requests per second
    double store_writes_per_s = 20;     // write_rps: keys written or deleted per second
    double max_value_kb = 8;            // value_kb: maximum KiB per value
    int max_transaction_changes = 12;   // txn_ops: keys written or deleted in one transaction
    double current_max_value_kb = 8;    // params.state.value_kb: the current limit, in KiB

    double cloud_requests_per_s = 5;  // params.cloud.rps
    double list_lag_s = 5;   // params.cloud.list_lag_s: maximum staleness of the cloud's list of machines
    double cpu_share = 1;    // params.limits.cpu_share: share of one core that this process may use
    double memory_mb = 200;  // params.limits.memory_mb: memory limit of this process in MiB
    int max_sockets = 1000;  // params.limits.max_sockets: maximum number of open sockets of this process

    // Returns the team with this name, or nullptr if it is not configured.
    [[nodiscard]] const Team* find_team(const std::string& team_name) const {
        for (const auto& team : teams)
            if (team.name == team_name) return &team;
        return nullptr;
    }
};

// Loads the settings from a file. Throws SettingsError if the file cannot be read or parse_settings() fails.
Settings load_settings(const std::string& path);
// Parses the settings from the text of a TOML document; `path` is the file name used in errors. Throws
// SettingsError if the document is malformed, a key is missing, or a value has the wrong type or is out of
// range.
Settings parse_settings(const std::string& text, const std::string& path);
// Parses HOST:PORT, with a port from 1 to 65535. Throws std::invalid_argument for any other format.
Endpoint parse_endpoint(const std::string& text);

}  // namespace pineroad::config
