// The settings that the platform hands to each controller, read from a TOML file. The names of its keys are
// the platform's and appear in settings.cpp only. Unknown keys are ignored; a wrong one is reported with its
// line.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace pineroad::config {

// A settings or tuning file that cannot be used. The text names file, line and key, and says what is needed.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Where a component listens.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    // As HOST:PORT.
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

// Another controller of the deployment: an entry of `peers`.
struct Peer {
    std::string name;   // host_name
    std::string zone;   // site
    Endpoint endpoint;  // endpoint: its peer API
};

// A team's guarantee and quota: an entry of `params.teams`. 0 stands for none of either.
struct Team {
    std::string name;     // name
    double cpus = 0;      // cpus: CPUs guaranteed
    double cpus_max = 0;  // cpus_max: quota of CPUs
    double gpus = 0;      // gpus: accelerators guaranteed
    double gpus_max = 0;  // gpus_max: quota of accelerators
};

// What a service-level objective speaks of.
enum class ObjectiveKind {
    start,     // "wait": time from submission to the start
    finish,    // "finished": time from submission to completion
    deadline,  // "deadline": completion within a multiple of the time up to the job's own deadline
    unknown    // any other: accepted, and without effect
};

// A service-level objective of a job class: an entry of `params.objectives`.
struct Objective {
    ObjectiveKind kind = ObjectiveKind::unknown;  // kind
    std::string job_class;                        // class
    std::optional<double> within_s;               // within_s: seconds
    std::optional<double> share;                  // share: of the class's jobs that are to meet it, 0 to 1
    std::optional<double> deadline_multiple;      // times: the multiple, for a deadline
};

// What a controller knows of its deployment from the start. Each field names the key that it stands for;
// durations are in seconds.
struct Settings {
    std::string name;                // host_name: this controller
    std::string zone;                // site: the zone it runs in
    Endpoint public_endpoint;        // front: API for users and workers, health checks
    Endpoint peer_endpoint;          // mesh_addr: API for the other controllers
    Endpoint cloud_endpoint;         // external.cloud
    Endpoint store_endpoint;         // external.state: the consensus-backed key-value store
    std::vector<Peer> peers;         // peers: the other controllers
    std::vector<std::string> zones;  // params.zones: where machines can be provisioned
    double max_clock_error_ms =
        0;                    // params.max_clock_error_ms: of the time of day, to true time; 0: not given
    std::vector<Team> teams;  // params.teams
    std::vector<Objective> objectives;  // params.objectives

    double heartbeat_period_s = 3;     // params.workers.report_s: between heartbeats of one machine
    double worker_lease_s = 30;        // params.workers.lease_s: without an answer a worker ends its tasks
    double gang_start_timeout_s = 30;  // params.workers.gang_wait_s: a started task waits for its gang
    double gang_failure_detection_s =
        5;                               // params.workers.gang_peer_s: until a gang's tasks notice a lost one
    double cancellation_timeout_s = 60;  // params.workers.cancel_s: until a cancelled job must have ended

    // Limits of the store: the smaller of those in force (params.state) and those announced for later
    // (params.state.next), since the change comes without notice.
    double store_requests_per_s = 100;  // rps
    double store_writes_per_s = 20;     // write_rps: keys written or deleted per second
    double value_kb = 8;                // value_kb: KiB per value
    int max_transaction_changes = 12;   // txn_ops: keys written or deleted in one transaction
    double current_value_kb = 8;        // params.state.value_kb: KiB per value, as in force now

    double cloud_requests_per_s = 5;  // params.cloud.rps
    double list_lag_s = 5;            // params.cloud.list_lag_s: age of the cloud's list of machines
    double cpu_share = 1;             // params.limits.cpu_share: of one core, for this process
    double memory_mb = 200;           // params.limits.memory_mb: MiB for this process
    int max_sockets = 1000;           // params.limits.max_sockets: open sockets of this process

    // The team of that name, or null if the settings name none.
    [[nodiscard]] const Team* team(const std::string& team_name) const {
        for (const auto& team : teams)
            if (team.name == team_name) return &team;
        return nullptr;
    }
};

// Reads the settings from a file. Throws SettingsError if it cannot be read, or as parse_settings does.
Settings load_settings(const std::string& path);
// Reads the settings from the text of a TOML document; `path` names it in errors. Throws SettingsError for a
// malformed document, a missing key, and a value of the wrong type or out of its range.
Settings parse_settings(const std::string& text, const std::string& path);
// Reads HOST:PORT, with a port from 1 to 65535. Throws std::invalid_argument for a text of another form.
Endpoint parse_endpoint(const std::string& text);

}  // namespace pineroad::config
