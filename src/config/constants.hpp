// All constants of the service, with their units and, where it is not obvious, the reason for a value. Names
// that end in `_s` are in seconds, in `_ms` in milliseconds, in `_bytes` in bytes; a `_share` is a fraction
// between 0 and 1. Comments name settings by their keys in the settings file, such as `report_s` or
// `value_kb` (settings.hpp maps them to fields). Values that an operator may want to change are in Tuning
// (tuning.hpp), with their defaults.
#pragma once

#include <cstddef>
#include <cstdint>

namespace pineroad::constants {

// --- leadership -------------------------------------------------------------------------------------------
// Short enough for a failover within seconds, long enough to survive a short stall of the leader.
inline constexpr int lease_ttl_ms = 5000;
// Time between lease renewals: allows four attempts within one lease.
inline constexpr double lease_renewal_period_s = 1.2;
// Subtracted from the remaining lease time, to allow for scheduling delays of this process.
inline constexpr double lease_margin_s = 0.5;
// Maximum time for which the store may keep a lease after this controller can no longer prove that it holds
// it: the sum of lease_margin_s, the transmission time of the renewal, and the 100 ms by which a lease may
// expire late.
inline constexpr double lease_expiry_margin_s = 1.0;
// A leader whose lease has expired and that has no contact with any peer keeps serving its workers this much
// longer: a new leader needs about as long to be elected and to load the cluster state.
inline constexpr double isolated_leader_grace_s = 4.0;
// Maximum age of a peer's last contact that counts as recent; peer messages are sent every second.
inline constexpr double recent_peer_contact_s = 3.0;
// Maximum relative drift between two steady clocks: twice the 0.05% by which each of them may drift.
inline constexpr double max_clock_drift = 0.001;
// Maximum difference between a fencing token that a worker or a peer reports and the highest one known. Every
// term adds 1, so no controller can have issued a token that is further ahead.
inline constexpr std::uint64_t max_token_lead = 1ULL << 32;
// Time between attempts to win a vacant term.
inline constexpr double election_retry_s = 0.4;
// Wait after stepping down because no heartbeats arrive, so that a peer wins the next term.
inline constexpr double election_backoff_s = 25.0;
// The leader steps down after this time without any heartbeat while a peer receives some.
inline constexpr double no_heartbeat_step_down_s = 10.0;

// --- store ------------------------------------------------------------------------------------------------
// Timeout of a store request. The store usually responds within 10 ms, occasionally within a few hundred.
inline constexpr double store_timeout_s = 1.5;
// Timeout of a transaction.
inline constexpr double commit_timeout_s = 2.0;
// Long-poll time of a watch: bounds how stale the watch cache can become without being noticed.
inline constexpr double watch_block_s = 2.0;
// Shares of the store's request rate (divided by the number of controllers) for linearizable reads on behalf
// of users and for watches. The rest is for transactions and for lease renewals, which must never be starved.
inline constexpr double linearizable_read_share = 0.35, watch_share = 0.25;
// Time between the leader's watches. Shorter than on other controllers, so that the leader learns of jobs and
// cancellations sooner.
inline constexpr double leader_watch_interval_s = 0.05;
// Changes made within this time are committed in one transaction, which saves writes.
inline constexpr double commit_interval_s = 0.15;
// Number of pending changes that are committed without further waiting: a segment and a job's completion.
inline constexpr std::size_t target_batch_changes = 4;
// If the store's limits fall below the announced ones, it rejects write batches as malformed. Each rejection
// halves the size of the next batch; after this many the term ends.
inline constexpr int max_rejected_batches = 4;
// Minimum number of changes to which rejections reduce a batch.
inline constexpr std::size_t min_batch_changes = 2;
// The protocol allows 64 KiB per request; the rest is left for the envelope of the transaction.
inline constexpr std::size_t max_transaction_bytes = 56UL * 1024;
// Fraction of value_kb that records are built to fill: leaves room for revisions and for numbers that gain
// digits.
inline constexpr double value_fill_ratio = 0.85;
// Keys per page when the watch cache is loaded.
inline constexpr int list_page_size = 200;
// Time before a request that the store refused is retried.
inline constexpr double store_retry_s = 0.3;
// store_write_share: the fraction of write_rps that the leader budgets for. It subtracts the writes of users'
// submissions and cancellations that it observes. leader_reserved_write_share: the fraction of this budget
// that the leader keeps however many these are, because its decisions take precedence over submissions.
inline constexpr double store_write_share = 0.95, leader_reserved_write_share = 0.55;
// Maximum age of the last contact with the store at which the controller still serves users.
inline constexpr double recent_store_contact_s = 4.0;
// Upper bounds on the size of a change in a transaction: keys, conditions and punctuation, without its value
// unless stated otherwise.
inline constexpr std::size_t machine_types_overhead_bytes = 100;
inline constexpr std::size_t provisioning_overhead_bytes = 200;
inline constexpr std::size_t segment_overhead_bytes = 200;
// Left free in the transaction beside a segment to which an entry is added.
inline constexpr std::size_t segment_reserve_bytes = 400;
// Per segment entry, without its name.
inline constexpr std::size_t segment_entry_overhead_bytes = 10;
// A tombstone is added to a segment only if this much space is free in addition to its name.
inline constexpr std::size_t tombstone_reserve_bytes = 40;
// Per deletion, without its key, which occurs twice.
inline constexpr std::size_t removal_overhead_bytes = 40;
// The sizes from here to category_averages_bytes include the values. A job's final record and the deletions
// that go with it, without those of dependency records.
inline constexpr std::size_t outcome_reserve_bytes = 600;
// Deletion of one dependency record.
inline constexpr std::size_t dependency_removal_bytes = 100;
// A final record.
inline constexpr std::size_t outcome_bytes = 100;
// Deletion of a progress record of version 0.1.
inline constexpr std::size_t progress_removal_bytes = 200;
// The averages of all categories.
inline constexpr std::size_t category_averages_bytes = 2000;

// --- amounts ----------------------------------------------------------------------------------------------
// Upper bound of every amount from outside (resources, sizes, prices, and durations in seconds): larger ones
// count as this. It is far above any amount in use, yet sums and products over all tasks and machines stay
// finite, and a duration in milliseconds fits into 64 bits.
inline constexpr double max_amount = 1e9;
// Upper bound of every time of day in a stored record, in milliseconds since the Unix epoch: the year 9999.
inline constexpr std::int64_t max_unix_time_ms = 253402300799999;

// --- users ------------------------------------------------------------------------------------------------
// Protocol: maximum size of a request body.
inline constexpr std::size_t max_request_body_bytes = 64UL * 1024;
// Protocol: maximum number of tasks of one job.
inline constexpr std::uint32_t max_tasks_per_job = 100000;
// Maximum length of a name in a request.
inline constexpr std::size_t max_name_bytes = 200;
// Maximum number of machine types listed in a submission.
inline constexpr std::size_t max_machine_types_per_job = 64;
// Job outcomes kept in memory, of about 60 bytes each.
inline constexpr std::size_t max_cached_outcomes = 20000;
// Maximum number of submissions and cancellations that are processed at once.
inline constexpr std::size_t max_submissions_in_flight = 200;
// Maximum number of polls that are processed at once.
inline constexpr std::size_t max_polls_in_flight = 400;
// Load shedding by event loop lag: submissions are rejected above the first value, polls also above the
// second. Heartbeats are never rejected.
inline constexpr double max_lag_for_submissions_s = 0.4;
inline constexpr double max_lag_for_polls_s = 1.2;
// Range of Retry-After. The value is randomized so that rejected users do not return all at once.
inline constexpr int retry_after_min_s = 1, retry_after_max_s = 4;

// --- dependencies -----------------------------------------------------------------------------------------
// Maximum number of dependencies of one job. With job ids of the usual eight characters, 500 fit into three
// values of 2 KiB.
inline constexpr std::size_t max_dependencies = 500;
// Maximum number of additional records that hold the end of a long dependency list. When the job ends, one
// transaction deletes them and the job's own record and writes its final record, and a transaction is only
// certain to allow four changes.
inline constexpr std::size_t max_dependency_records = 2;
// Maximum number of dependency look-ups for one request; a retry finds the results in memory.
inline constexpr int max_dependency_lookups = 64;
// Time between look-ups of dependencies that are missing from the watch cache. A pending job can start only
// once the states of all its dependencies are known.
inline constexpr double dependency_lookup_period_s = 0.3;
// Estimated time from the completion of a job to the start of its dependents: a heartbeat, two commits, a
// heartbeat response and an image fetch.
inline constexpr double dependency_overhead_s = 8.0;
// Once a user has submitted a job with dependencies, a controller that has been silent for this long is
// assumed to read the current record format, even if it has never been seen to read it: users submit such
// jobs only after every controller has been upgraded.
inline constexpr double format_silence_timeout_s = 10.0;
// Time between checks of which controllers read the current record format. The leader learns this from peer
// messages; after two rounds of them it has heard from all of five controllers.
inline constexpr double format_check_period_s = 0.5;
// Tasks per shard of a job; each shard has one entry in a segment. At 36 bytes per task a shard fits into a
// value of 2 KiB together with the fixed part of the record. Smaller shards would repeat this part more
// often; larger ones would rewrite more data whenever a task starts or ends.
inline constexpr std::uint32_t tasks_per_shard = 32;

// --- workers ----------------------------------------------------------------------------------------------
// Maximum time that a heartbeat response is held back to wait for a plan and its commit.
inline constexpr double heartbeat_hold_s = 0.9;
// The same for a machine with free capacity, which waits for new work. Workers drop responses after 4 s.
inline constexpr double heartbeat_hold_idle_s = 2.8;
// Minimum timer wait: timers have a resolution of a millisecond, and a shorter wait would be a busy loop.
inline constexpr double min_wait_s = 0.001;
// Event loop lag above which heartbeat responses are not held back, because they would arrive too late.
inline constexpr double max_lag_for_hold_s = 0.4;
// A machine gets new tasks only if its last contact is at most this multiple of report_s old.
inline constexpr double schedulable_heartbeat_periods = 2.5;
// Failure detection: while other machines are in contact, a machine counts as lost when its last contact is
// older than this many heartbeat periods plus the margin. This allows for two heartbeats that are a quarter
// of a period late and one that hit a dead connection (4 s) and was retried at another controller (1 s).
inline constexpr double failure_detection_periods = 2.5, failure_detection_margin_s = 6.5;
// Number of consecutive heartbeats that ignore the commands sent, after which the machine counts as cut off
// by an inbound partition: its heartbeats arrive, but it receives nothing.
inline constexpr int max_unacknowledged_heartbeats = 2;
// If more machines than this, and more than a fifth of those that report, receive no commands, no machine is
// released for that reason: the fault may be on the controllers' side.
inline constexpr std::size_t max_machines_not_receiving_commands = 5;
// Part of cancel_s that is kept in reserve while heartbeats are responded to without contact to the store.
inline constexpr double cancellation_margin_s = 4.0;
// Minimum time for which heartbeats are responded to without contact to the store, if cancel_s minus lease_s
// leaves less: two watches and their retries.
inline constexpr double min_disconnected_grace_s = 6.0;
// A machine is quarantined after this many failures in a row, without a task that succeeds in between, if
// they are of different jobs, or if the last one is of a job that has completed tasks.
inline constexpr int max_consecutive_machine_failures = 2;
// A job without completed tasks that fails on this many machines is itself considered faulty.
inline constexpr int max_failed_machines_per_job = 3;
// Initial wait before a failed task is retried; it doubles with every failure up to the maximum.
inline constexpr double task_retry_backoff_s = 4.0;
inline constexpr double task_retry_backoff_max_s = 60.0;
// Timeout of a direct command.
inline constexpr double direct_command_timeout_s = 2.0;
// Maximum number of direct commands in flight to workers. A round may stop hundreds of tasks, and a machine
// that hangs occupies its connection until the timeout: even if all of these hang, a gang of 32 still
// receives its stops within two seconds.
inline constexpr std::size_t max_direct_commands_in_flight = 64;
// Maximum number of machines with queued direct commands; dropped ones are sent in heartbeat responses.
inline constexpr std::size_t max_queued_direct_commands = 4096;
// Maximum number of commands in one heartbeat response: a line has at most 64 KiB.
inline constexpr std::size_t max_commands_per_response = 200;

// How long, and how many, names of released machines are kept within a term, because duplicates of heartbeats
// can arrive minutes late. The number bounds memory (4 MB); to reach it, thousands of machines would have to
// be replaced ten times within the hour.
inline constexpr double released_machine_retention_s = 3600;
inline constexpr std::size_t max_released_machines = 50000;
// Maximum number of images that a machine is assumed to have cached; their total size is bounded too.
inline constexpr std::size_t max_cached_images = 32;
// Weight of one task in its class's ratio of actual to estimated run time: the ratio settles after ten tasks.
inline constexpr double estimate_bias_weight = 0.1;
// Bounds of this ratio. Protocol: estimates are often off by half, sometimes by more.
inline constexpr double min_estimate_bias = 0.3, max_estimate_bias = 3.0;

// --- planning ---------------------------------------------------------------------------------------------
// Maximum time between planning rounds: some decisions depend on time alone, not on heartbeats.
inline constexpr double max_plan_interval_s = 0.5;
// Placement cost of a spot machine for a job in a pipeline, in the same unit as the image fetch time. Of the
// hundreds of tasks of a stage one or two are lost with spot machines; the loss is noticed only seconds
// later, and every later stage waits for the retry.
inline constexpr double pipeline_spot_cost_s = 30.0;
// Placement cost of an empty machine, spot or on demand, for a job in a pipeline. If small tasks
// were placed on it, a job class whose tasks need a whole machine would have to wait, while nearly every busy
// machine has room beside its large tasks.
inline constexpr double pipeline_empty_cost_s = 45.0;
// Minimum time between planning rounds: heartbeats that arrive in between are planned for together.
inline constexpr double min_plan_interval_s = 0.2;
// Time between rounds of autoscaling: the cloud takes a few hundred ms to respond.
inline constexpr double autoscaling_period_s = 1.0;
// A job whose deadline or objective is further away than this is scheduled like one that has none.
inline constexpr double max_slack_s = 1e8;
// Maximum number of pending tasks of one job that a planning round considers.
inline constexpr std::size_t pending_task_window = 512;
// Size of a progress record without its lists.
inline constexpr double progress_record_overhead_bytes = 400;
// Maximum size of one placement, or of one gap in the set of completed tasks, in a progress record.
inline constexpr double max_progress_entry_bytes = 36;
// Writes that nothing waits for are collected for this long, or committed together with the next urgent
// write.
inline constexpr double deferred_write_s = 1.0;
// Compaction: if there are more than min_segments, plus one for every min_entries_per_segment entries (or for
// fewer entries where values are small), one segment is emptied into the others.
inline constexpr std::size_t min_segments = 10, min_entries_per_segment = 8;
// Twice the size of a typical entry, so that segments that are half empty are emptied.
inline constexpr double compaction_bytes_per_entry = 900;
// Time between writes of the category averages. They change slowly, so one write covers many completions.
inline constexpr double category_averages_period_s = 30;
// Maximum count of a stored category average: further jobs are added to it without overflow.
inline constexpr std::uint64_t max_averaged_jobs = 1000000000;
// Time window over which arrivals of jobs are counted.
inline constexpr double demand_window_s = 300;
// Time after the first arrival of a class that is excluded from its arrival rate: an initial burst is not
// representative.
inline constexpr double demand_warm_up_s = 15;
// Minimum time over which an arrival rate is computed.
inline constexpr double min_demand_window_s = 60;
// Maximum number of tracked job classes, and of tracked arrivals per class; both bound memory.
inline constexpr std::size_t max_demand_classes = 200, max_arrivals_per_class = 2000;
// Maximum number of tasks of one class for which spare machines are kept, whatever boot time the cloud
// states: several times the machines of the largest deployment.
inline constexpr double max_headroom_tasks = 10000;
// Time between measurements of the event loop lag.
inline constexpr double lag_sample_period_s = 0.1;
// The following constants and the image fetch time make up the cost of placing a task on a machine. All costs
// are expressed in seconds of waiting. max_price_ratio caps the price ratio used in this cost.
inline constexpr double max_price_ratio = 4.0;
// Cost per unit of the price ratio on a busy machine.
inline constexpr double price_cost_busy_s = 2.0;
// Cost per unit of the price ratio on an idle machine, which could be released instead.
inline constexpr double price_cost_idle_s = 8.0;
// Best fit: cost per GPU that stays free on the machine. A free CPU counts as gpus_per_free_cpu of a GPU.
inline constexpr double unused_capacity_cost_s = 0.2;
inline constexpr double gpus_per_free_cpu = 0.1;

// --- cloud ------------------------------------------------------------------------------------------------
// Timeout of a request to the cloud.
inline constexpr double cloud_timeout_s = 5.0;
// Time between reads of the list of machines.
inline constexpr double machine_list_period_s = 5.0;
// Time between reads of the machine types.
inline constexpr double machine_types_period_s = 30.0;
// Initial wait after the cloud had no capacity for a type and zone, on demand or spot; it doubles up to the
// maximum.
inline constexpr double no_capacity_backoff_s = 8.0;
inline constexpr double no_capacity_backoff_max_s = 40.0;
// Boot timeout of a machine as a multiple of its nominal boot time, and its lower bound.
inline constexpr double boot_timeout_factor = 3.5;
inline constexpr double min_boot_timeout_s = 60.0;
// Protocol: a released machine is charged for at least this much time.
inline constexpr double minimum_charge_s = 60.0;
// Protocol: maximum number of machines in one provisioning request and in one release request.
inline constexpr int max_machines_per_request = 50;
inline constexpr int max_machines_per_release = 100;
// Fraction of cloud.rps that is used.
inline constexpr double cloud_request_share = 0.7;

// --- peers ------------------------------------------------------------------------------------------------
// Time between messages to a peer.
inline constexpr double peer_message_period_s = 1.0;
// Timeout of a peer message: less than the period, so that only one is in flight at a time.
inline constexpr double peer_message_timeout_s = 0.9;
// Timeout of a forwarded cancellation: a user waits for it, and peers respond within milliseconds.
inline constexpr double forward_cancellation_timeout_s = 0.3;
// Maximum number of cancellations in one message, of about 15 bytes each. Covers a controller that has no
// contact with the store during some minutes of a burst (four jobs a second, half of them cancelled).
inline constexpr std::size_t max_cancellations_per_message = 2000;
// Maximum number of cancellations that a process keeps, of about 100 bytes each; the latest are kept.
inline constexpr std::size_t max_logged_cancellations = 10000;

// --- connections ------------------------------------------------------------------------------------------
// A new connection without a request is closed after this time; clients send one immediately after
// connecting. Dead connections left by a partition would otherwise count in addition to those that replace
// them.
inline constexpr double first_request_timeout_s = 10.0;
// Idle timeout of users' connections. Users poll every 5 s, and wait at most 30 s after a Retry-After.
inline constexpr double user_idle_timeout_s = 45.0;
// The idle timeout of workers' connections is this multiple of report_s plus the time after which a worker
// drops a response (protocol).
inline constexpr double idle_timeout_heartbeat_periods = 2.5;
inline constexpr double heartbeat_response_timeout_s = 4.0;
// Timeouts for reading the body of a request and for sending a response.
inline constexpr double body_timeout_s = 10.0;
inline constexpr double write_timeout_s = 10.0;
// Time before accepting again after a failure (no sockets left).
inline constexpr double accept_retry_s = 0.1;
// Maximum number of connections that the kernel queues until they are accepted.
inline constexpr int accept_backlog = 512;
// Fraction of max_sockets for users; every machine needs one of the others.
inline constexpr double user_socket_share = 0.2;
// Sockets reserved for listeners, timers and connections that are being closed.
inline constexpr std::size_t reserved_sockets = 64;
// Sockets per peer in each direction; one is enough while nothing hangs.
inline constexpr std::size_t sockets_per_peer = 4;
// Maximum number of connections to one endpoint, and of callers that wait for one.
inline constexpr std::size_t max_connections_per_endpoint = 24;
inline constexpr std::size_t max_queued_requests_per_endpoint = 256;
// Maximum size of one response as a fraction of memory_mb. The response to a watch holds every change since
// the last one, without a limit of its own. Parsed, a response takes five times the size of its text, which
// is a third of the memory.
inline constexpr double response_memory_share = 1.0 / 16;
// Timeout for opening a connection.
inline constexpr double connect_timeout_s = 1.0;

}  // namespace pineroad::constants
