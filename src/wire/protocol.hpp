// The only home of the protocol's names: JSON in, plain data out, and back. Strict about what is read,
// tolerant of unknown fields.
#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "model/model.hpp"

namespace pineroad::wire {

using Json = boost::json::value;

// nullopt: not JSON at all.
std::optional<Json> parse_json(std::string_view text);

// Paths.
inline constexpr std::string_view submissions_path = "/submissions";
inline constexpr std::string_view heartbeat_path = "/checkin";
inline constexpr std::string_view health_path = "/up";
inline constexpr std::string_view direct_command_path = "/do";
inline constexpr std::string_view machine_types_path = "/flavors";
inline constexpr std::string_view machines_path = "/machines";
inline constexpr std::string_view release_path = "/machines/release";

// --- users ---
bool valid_job_id(std::string_view id);
// The job, or a one-line reason for a 400.
std::variant<model::JobSpec, std::string> parse_submission(std::string_view body);
enum class JobStatus { queued, running, done, cancelled };
std::string job_status_response(std::string_view id, JobStatus state,
                                std::optional<std::pair<std::uint64_t, std::uint64_t>> done_running = {});
std::string error_response(std::string_view reason);

// --- workers ---
std::variant<model::Heartbeat, std::string> parse_heartbeat(std::string_view body);
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands);
std::string direct_command_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<model::Command>& commands);
std::string redirect_response(std::string_view leader);

// --- cloud ---
std::optional<std::vector<model::MachineType>> parse_machine_types(const Json& doc);
Json machine_types_json(const std::vector<model::MachineType>& types);
std::string provisioning_request(const model::ProvisioningRequest& rental);
std::optional<std::vector<std::string>> parse_provisioned_machines(std::string_view body);
std::string release_request(const std::vector<std::string>& machines);
std::string machine_list_target(std::string_view after, int page);
struct MachineList {
    std::vector<model::ListedMachine> machines;
    bool truncated = false;
};
std::optional<MachineList> parse_machine_list(std::string_view body);

// --- state service ---
struct Row {
    std::string key;
    Json value;
    std::uint64_t mod_revision = 0;
};
struct Rows {
    std::vector<Row> rows;
    bool truncated = false;
    std::uint64_t revision = 0;
};
struct WatchEvent {
    std::string key;
    std::optional<Json> value;  // nullopt: dropped
    std::uint64_t mod_revision = 0;
};
struct WatchEvents {
    std::vector<WatchEvent> events;
    std::uint64_t revision = 0;
};
struct Condition {
    std::string key;
    std::uint64_t mod_revision = 0;  // 0: must not exist
};
struct Change {
    std::string key;
    std::optional<Json> value;  // nullopt: drop
    std::optional<std::uint64_t> lease;
};
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Change> changes;
};
std::string store_target(std::string_view key);
std::string list_store_target(std::string_view prefix, std::string_view after, int page);
std::string watch_target(std::string_view prefix, std::uint64_t since, int block_ms);
std::string commit_request(const Transaction& txn);
std::optional<std::uint64_t> parse_revision(std::string_view body);
std::vector<std::string> parse_failed_conditions(std::string_view body);
std::optional<Row> parse_row(std::string_view body);
std::optional<Rows> parse_rows(std::string_view body);
std::optional<WatchEvents> parse_watch_events(std::string_view body);
std::string lease_request(int ttl_ms);
std::optional<std::uint64_t> parse_lease(std::string_view body);
std::string renew_lease_target(std::uint64_t lease);
std::string lease_target(std::uint64_t lease);
inline constexpr std::string_view commit_path = "/commit";
inline constexpr std::string_view leases_path = "/leases";

}  // namespace pineroad::wire
