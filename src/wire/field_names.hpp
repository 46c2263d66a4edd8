// Names of the JSON fields and query parameters on the wire, under the terms that the code uses for them.
// Internal to src/wire: code in other folders never uses wire names. Names of enumeration values are defined
// in the source file of the protocol that uses them, paths in its header or source file.
#pragma once

#include <string_view>

namespace pineroad::wire::field_name {

using Name = std::string_view;

// Jobs, tasks and machines: shared by several protocols.
inline constexpr Name id = "NameId";
inline constexpr Name status = "Status";
inline constexpr Name tasks = "Pieces";  // a number in a submission, a list in a heartbeat
inline constexpr Name cpus = "Vcpus";
inline constexpr Name gpus = "Accelerators";
inline constexpr Name memory_gb = "MemGb";
inline constexpr Name machine_type = "Breed";
inline constexpr Name machine_types = "Breeds";
inline constexpr Name zone = "Yard";
inline constexpr Name zones = "Yards";
inline constexpr Name spot = "Loaners";
inline constexpr Name machine_address = "Address";

// Users.
inline constexpr Name job_class = "Jobclass";
inline constexpr Name team = "Crew";
inline constexpr Name shape = "Shape";
inline constexpr Name priority = "Urgency";
inline constexpr Name image = "Bundle";
inline constexpr Name image_gb = "SizeGb";
inline constexpr Name same_zone = "Together";
inline constexpr Name spread = "Spread";
inline constexpr Name estimate_s = "GuessS";
inline constexpr Name checkpoint_interval_s = "NotchS";
inline constexpr Name checkpoint_save_s = "StashS";
inline constexpr Name deadline_s = "DueS";
inline constexpr Name done_tasks = "done";
inline constexpr Name running_tasks = "running";
inline constexpr Name error = "error";

// Workers.
inline constexpr Name machine = "Host";
inline constexpr Name agent_epoch = "Stint";
inline constexpr Name sequence = "Tick";
inline constexpr Name fencing_token = "Baton";
inline constexpr Name interruption_notice_s = "WarningS";
inline constexpr Name task = "Piece";
inline constexpr Name attempt = "Try";
inline constexpr Name exit_cause = "Cause";
inline constexpr Name checkpoint_saved = "Saved";
inline constexpr Name commands = "Orders";
inline constexpr Name command = "Verb";
inline constexpr Name grace_s = "LeewayS";
inline constexpr Name leader = "Foreman";

// Cloud.
inline constexpr Name type_name = "Name";
inline constexpr Name cache_gb = "CacheGb";
inline constexpr Name fetch_gb_per_s = "PullGbPerS";
inline constexpr Name price = "Hourly";
inline constexpr Name spot_price = "MarketPrice";
inline constexpr Name boot_s = "StartupS";
inline constexpr Name provisioning_request = "Hire";
inline constexpr Name machine_count = "Count";
inline constexpr Name machines = "Hosts";
inline constexpr Name machine_age_s = "HeldS";
inline constexpr Name truncated = "Truncated";  // also in the store's row lists

// Consensus-backed key-value store.
inline constexpr Name key = "Key";
inline constexpr Name value = "Value";
inline constexpr Name mod_revision = "Stamp";
inline constexpr Name revision = "Epoch";
inline constexpr Name lease = "Permit";
inline constexpr Name lease_ttl_ms = "TtlMs";
inline constexpr Name rows = "Rows";
inline constexpr Name events = "Events";
inline constexpr Name conditions = "When";
inline constexpr Name changes = "Apply";
inline constexpr Name put = "Write";
inline constexpr Name remove = "Drop";
inline constexpr Name failed_conditions = "failed";

}  // namespace pineroad::wire::field_name

namespace pineroad::wire::query_name {

inline constexpr std::string_view prefix = "Under";
inline constexpr std::string_view after = "Since";  // a machine name, key or revision
inline constexpr std::string_view page_size = "Page";
inline constexpr std::string_view block_ms = "BlockMs";

}  // namespace pineroad::wire::query_name
