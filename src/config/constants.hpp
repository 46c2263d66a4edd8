// Every constant of the service, with its unit and the reason for its value. Names that end in `_s` are
// seconds, in `_ms` milliseconds, in `_bytes` bytes; a `_share` is a part of 1. "Keys" such as `report_s` are
// those of the settings file (settings.hpp says which field stands for each). Values an operator may want to
// change are in Tuning (tuning.hpp), with their defaults.
#pragma once

#include <cstddef>
#include <cstdint>

namespace pineroad::constants {

// --- leadership -------------------------------------------------------------------------------------------
// Short enough for a failover in seconds, long enough for a controller that is slow for a moment.
inline constexpr int lease_ttl_ms = 5000;
// Between lease renewals: four tries inside one lease.
inline constexpr double lease_renewal_period_s = 1.2;
// Taken off what is left of a lease: scheduling delay of this process.
inline constexpr double lease_margin_s = 0.5;
// After the time until which a lease is provably held it may still live at the store: the margin taken off
// above, the renewal's own way and the 100 ms by which a lease may expire late.
inline constexpr double lease_expiry_margin_s = 1.0;
// A leader whose lease has expired and who has no contact with any peer keeps its workers this much longer: a
// new leader needs about as long to be elected and to load its cluster state.
inline constexpr double isolated_leader_grace_s = 4.0;
// A peer's last contact counts as recent within this; peer messages are sent every second.
inline constexpr double recent_peer_contact_s = 3.0;
// Relative drift between two steady clocks: twice the 0.05% by which they may differ.
inline constexpr double max_clock_drift = 0.001;
// Between tries for a vacant term.
inline constexpr double election_retry_s = 0.4;
// After giving up a term for want of heartbeats: lets a peer win the next one.
inline constexpr double election_backoff_s = 25.0;
// No heartbeat at all for so long, while a peer receives some: the leader gives the term up.
inline constexpr double no_heartbeat_step_down_s = 10.0;

// --- store ------------------------------------------------------------------------------------------------
// The store usually answers within 10 ms, now and then within a few hundred.
inline constexpr double store_timeout_s = 1.5;
// For the answer to a transaction.
inline constexpr double commit_timeout_s = 2.0;
// Watches return at least so often: that bounds how old the watch cache can be without notice.
inline constexpr double watch_block_s = 2.0;
// Shares of the store's request rate, divided by the number of controllers: linearizable reads for users, and
// watches. What is left is for transactions, and for lease renewals, which nothing may starve.
inline constexpr double linearizable_read_share = 0.35, watch_share = 0.25;
// Between the leader's watches, less than between others': it learns of jobs and cancellations sooner.
inline constexpr double leader_watch_interval_s = 0.05;
// Changes made within this time share a transaction, which saves writes.
inline constexpr double commit_interval_s = 0.15;
// Changes that are worth a transaction at once: a segment and a job's completion.
inline constexpr std::size_t target_batch_changes = 4;
// A write batch that is refused as malformed, because the limits fell lower than was announced: each time the
// next one is half as large, and after so many the term ends.
inline constexpr int max_rejected_batches = 4;
// The least number of changes such a batch is reduced to.
inline constexpr std::size_t min_batch_changes = 2;
// Protocol: 64 KiB overall, less room for the frame.
inline constexpr std::size_t max_transaction_bytes = 56UL * 1024;
// Of value_kb that records are built to fill: leaves room for revisions and numbers that gain digits.
inline constexpr double value_fill_ratio = 0.85;
// Keys in a page when the watch cache is read anew.
inline constexpr int list_page_size = 200;
// After a refusal by the store.
inline constexpr double store_retry_s = 0.3;
// Of write_rps: what the leader uses in all, less what it sees users' submissions and cancellations take. Of
// its own share it keeps the second part however many those are, since decisions go before submissions.
inline constexpr double store_write_share = 0.95, leader_reserved_write_share = 0.55;
// Contact with the store within this: the controller can serve users.
inline constexpr double recent_store_contact_s = 4.0;
// What a change takes in a transaction beside its value, estimated from above: keys, conditions, punctuation.
inline constexpr std::size_t machine_types_overhead_bytes = 100;
inline constexpr std::size_t provisioning_overhead_bytes = 200;
inline constexpr std::size_t segment_overhead_bytes = 200;
inline constexpr std::size_t segment_reserve_bytes = 400;  // free beside a segment before an entry is added
inline constexpr std::size_t segment_entry_overhead_bytes = 10;  // of an entry in a segment, beside its name
inline constexpr std::size_t tombstone_reserve_bytes = 40;    // free beside a tombstone's name in a segment
inline constexpr std::size_t removal_overhead_bytes = 40;     // of a removal, beside its key twice
inline constexpr std::size_t outcome_reserve_bytes = 600;     // of a job's final record and its removals
inline constexpr std::size_t dependency_removal_bytes = 100;  // ... and of each further dependency record
inline constexpr std::size_t outcome_bytes = 100;             // counted for a final record
inline constexpr std::size_t progress_removal_bytes = 200;    // of a progress record of version 0.1
inline constexpr std::size_t category_averages_bytes = 2000;  // of all categories

// --- users ------------------------------------------------------------------------------------------------
// Protocol: bytes of a request body.
inline constexpr std::size_t max_request_body_bytes = 64UL * 1024;
// Protocol: tasks of one job.
inline constexpr std::uint32_t max_tasks_per_job = 100000;
// Characters of the longest name accepted in a submission.
inline constexpr std::size_t max_name_bytes = 200;
// Most machine types named in a submission.
inline constexpr std::size_t max_machine_types_per_job = 64;
// Job outcomes kept in memory, of about 60 bytes each.
inline constexpr std::size_t max_cached_outcomes = 20000;
// Submissions and cancellations being decided at once.
inline constexpr std::size_t max_inflight_submissions = 200;
// Polls being answered at once.
inline constexpr std::size_t max_inflight_polls = 400;
// Load shedding by the event loop's lag: submissions are rejected first, and at the second value polls too.
// Heartbeats never are.
inline constexpr double max_lag_for_submissions_s = 0.4;
inline constexpr double max_lag_for_polls_s = 1.2;
// Range of Retry-After, in seconds: spread, so that rejected users do not return at once.
inline constexpr int retry_after_min_s = 1, retry_after_max_s = 4;

// --- dependencies -----------------------------------------------------------------------------------------
// Names in one list. With names of the usual eight characters so many fit into three values of 2 KiB.
inline constexpr std::size_t max_dependencies = 500;
// Further records for the end of a long list. With the job's own record and its final one they are deleted in
// one transaction, whose limit is four changes at the least.
inline constexpr std::size_t max_dependency_records = 2;
// Look-ups of dependencies that one request may cost; the user's next try finds these in memory.
inline constexpr int max_dependency_lookups = 64;
// Between look-ups of dependencies that the watch cache does not hold: a pending job may start once all are
// known.
inline constexpr double dependency_lookup_period_s = 0.3;
// From the completion of a job to the start of those that depend on it, beyond their run times: a heartbeat,
// two commits, an answer, an image.
inline constexpr double dependency_overhead_s = 8.0;
// A controller that was never seen to read the present record format, and is silent for so long after a user
// asked for a job with dependencies, is not waited for: nobody asks before every controller is replaced.
inline constexpr double format_silence_timeout_s = 10.0;
// Between checks of who reads the present format: five controllers are seen within two rounds of peer
// messages.
inline constexpr double format_check_period_s = 0.5;
// Tasks of one shard, which has an entry in a segment. At 36 bytes each they fit a value of 2 KiB with its
// frame; fewer would repeat the frame more often, more would be written again more often, for each task that
// starts or ends.
inline constexpr std::uint32_t tasks_per_shard = 32;

// --- workers ----------------------------------------------------------------------------------------------
// A heartbeat's answer may wait this long for a plan and its commit.
inline constexpr double heartbeat_hold_s = 0.9;
// ... and that of a machine without work for some to come. Workers drop answers after 4 s.
inline constexpr double heartbeat_hold_idle_s = 2.8;
// Shortest wait: timers have a resolution of a millisecond, and a shorter one would be a busy loop.
inline constexpr double min_wait_s = 0.001;
// Event-loop lag above which no answer is held back: it would come too late.
inline constexpr double max_lag_for_hold_s = 0.4;
// Multiple of report_s: a machine whose last contact is older gets no new tasks.
inline constexpr double schedulable_heartbeat_periods = 2.5;
// Failure detection: a machine is lost when its last contact is older than so many heartbeat periods and the
// margin while others are in contact. That is two heartbeats a quarter late, and one that met a dead
// connection (4 s) and another controller (1 s).
inline constexpr double failure_detection_periods = 2.5, failure_detection_margin_s = 6.5;
// Heartbeats in a row that do not acknowledge commands: an inbound partition, nothing reaches the machine.
inline constexpr int max_unacknowledged_heartbeats = 2;
// Machines behind an inbound partition: with more than these, and a fifth of all, the fault may be on our
// side.
inline constexpr std::size_t max_partitioned_machines = 5;
// Of cancel_s, kept free when heartbeats are answered without the store.
inline constexpr double cancellation_margin_s = 4.0;
// Least time of such answers where cancel_s leaves none after lease_s: two watches and their retries.
inline constexpr double min_disconnected_grace_s = 6.0;
// Tasks of different jobs that fail in a row on a machine: it is quarantined.
inline constexpr int max_consecutive_machine_failures = 2;
// A job that fails on so many machines is itself at fault.
inline constexpr int max_failed_machines_per_job = 3;
// First wait before a failed task is tried again; it doubles up to the second value.
inline constexpr double task_retry_backoff_s = 4.0;
inline constexpr double task_retry_backoff_max_s = 60.0;
// For the answer to a direct command.
inline constexpr double direct_command_timeout_s = 2.0;
// Stops on their way to workers at once. A round may stop hundreds of tasks, and a machine that hangs keeps
// its connection for the timeout: with all of these hanging, a gang of 32 still gets its stops within two
// seconds.
inline constexpr std::size_t max_inflight_stops = 64;
// Machines with stops that are not sent yet; what is dropped follows in answers to heartbeats.
inline constexpr std::size_t max_queued_stops = 4096;
// Commands in one answer: a line has at most 64 KiB.
inline constexpr std::size_t max_commands_per_response = 200;

// Names of released machines remembered within a term, since copies of heartbeats arrive minutes late. The
// count bounds memory (4 MB); thousands of machines would have to be replaced ten times within the hour to
// reach it.
inline constexpr double released_machine_retention_s = 3600;
inline constexpr std::size_t max_released_machines = 50000;
// Image names that a machine's cache is taken to hold; their size bounds them too.
inline constexpr std::size_t max_cached_images = 32;
// Weight of one task in its class's ratio of run time to estimate: ten tasks settle it.
inline constexpr double estimate_bias_weight = 0.1;
// Bounds of that ratio. Protocol: estimates are often wrong by half, sometimes more.
inline constexpr double min_estimate_bias = 0.3, max_estimate_bias = 3.0;

// --- planning ---------------------------------------------------------------------------------------------
// A round of planning at least so often: time passes without heartbeats.
inline constexpr double max_plan_interval_s = 0.5;
// What a spot machine costs a job of a pipeline, as seconds beside an image fetch: of its hundreds of tasks
// one or two are lost with such machines, which is noticed seconds later, and every stage after it waits for
// the repetition.
inline constexpr double pipeline_spot_cost_s = 30.0;
// ... and what an empty machine costs it, of whatever kind: with small tasks on it a class that needs such a
// machine whole would have to wait, while nearly every machine in use has room beside its large tasks.
inline constexpr double pipeline_empty_cost_s = 45.0;
// A round at most so often: what heartbeats bring meanwhile is planned together.
inline constexpr double min_plan_interval_s = 0.2;
// Between rounds of autoscaling: an answer of the cloud takes a few hundred ms.
inline constexpr double autoscaling_period_s = 1.0;
// Pending tasks of one job that are looked at in a round.
inline constexpr std::size_t pending_task_window = 512;
// Size of a progress record without its lists.
inline constexpr double progress_record_overhead_bytes = 400;
// Size of one placement or one gap in the set of done tasks, at most.
inline constexpr double max_progress_entry_bytes = 36;
// Writes that nothing waits for are collected for so long, or go with the next that something waits for.
inline constexpr double deferred_write_s = 1.0;
// Compaction: this many segments are kept, and one more for every so many entries, or for fewer where a value
// is small. Beyond, one is emptied into the others.
inline constexpr std::size_t min_segments = 10, min_entries_per_segment = 8;
// Twice the size of a usual entry: half-empty segments are emptied.
inline constexpr double compaction_bytes_per_entry = 900;
// Between writes of the category averages, which move slowly: one write for many completions.
inline constexpr double category_averages_period_s = 30;
// Arrivals looked back at.
inline constexpr double demand_window_s = 300;
// After a class's first arrival, left out of its rate: a first burst says nothing of it.
inline constexpr double demand_warm_up_s = 15;
// Rates are taken over at least this long.
inline constexpr double min_demand_window_s = 60;
// Classes, and arrivals of one class, that are tracked: bound memory.
inline constexpr std::size_t max_demand_classes = 200, max_arrivals_per_class = 2000;
// Between measurements of the event loop's lag.
inline constexpr double lag_sample_period_s = 0.1;
// What decides between machines beside image fetches, as seconds of waiting: the common measure of all costs.
// Price ratio beyond which a dearer machine counts as no dearer.
inline constexpr double max_price_ratio = 4.0;
// For each unit of the price ratio, on a machine in use.
inline constexpr double price_cost_busy_s = 2.0;
// ... and on an idle one, which could be released instead.
inline constexpr double price_cost_idle_s = 8.0;
// For each GPU that stays free beside the task: best fit. A free CPU counts as the second value of a GPU.
inline constexpr double unused_capacity_cost_s = 0.2;
inline constexpr double gpus_per_free_cpu = 0.1;

// --- cloud ------------------------------------------------------------------------------------------------
// For any answer of the cloud.
inline constexpr double cloud_timeout_s = 5.0;
// Between reads of the list of machines.
inline constexpr double machine_list_period_s = 5.0;
// Between reads of the machine types.
inline constexpr double machine_types_period_s = 30.0;
// After 'no capacity' for a type, zone and kind; it doubles up to the second value.
inline constexpr double no_capacity_backoff_s = 8.0;
inline constexpr double no_capacity_backoff_max_s = 40.0;
// Multiple of the nominal boot time before a machine is given up, and the least such time.
inline constexpr double boot_timeout_factor = 3.5;
inline constexpr double min_boot_timeout_s = 60.0;
// Protocol: a released machine costs at least this much time.
inline constexpr double minimum_charge_s = 60.0;
// Protocol: machines in one provisioning request, and in one release.
inline constexpr int max_machines_per_request = 50;
inline constexpr int max_machines_per_release = 100;
// Of cloud.rps that is used.
inline constexpr double cloud_request_share = 0.7;

// --- peers ------------------------------------------------------------------------------------------------
// Between messages to a peer.
inline constexpr double peer_message_period_s = 1.0;
// For its answer: less than the period, so that one is in flight at a time.
inline constexpr double peer_message_timeout_s = 0.9;
// For the answer to a forwarded cancellation: a user waits for it, and peers answer within milliseconds.
inline constexpr double forward_cancellation_timeout_s = 0.3;
// Cancellations in one message: what may pass while a controller has no contact with the store, some minutes
// of a burst (four jobs a second, half of them cancelled); about 15 bytes each.
inline constexpr std::size_t max_cancellations_per_message = 2000;
// The latest cancellations kept by a process; about 100 bytes each.
inline constexpr std::size_t max_logged_cancellations = 10000;

// --- connections ------------------------------------------------------------------------------------------
// A silent connection is closed: dead ones, left by a partition, would count beside those that replace them.
// Whoever connects sends a request at once.
inline constexpr double first_request_s = 10.0;
// Users poll every 5 s, and wait 30 s at most after a Retry-After.
inline constexpr double user_idle_timeout_s = 45.0;
// Workers: multiple of report_s, and beside it the worker's own wait for an answer (protocol: it drops
// answers after this).
inline constexpr double idle_timeout_heartbeat_periods = 2.5;
inline constexpr double heartbeat_response_timeout_s = 4.0;
// For the body of a request, and for sending an answer.
inline constexpr double body_timeout_s = 10.0;
inline constexpr double write_timeout_s = 10.0;
// After a failed accept (no sockets left).
inline constexpr double accept_retry_s = 0.1;
// Connections the kernel holds until they are accepted.
inline constexpr int accept_backlog = 512;
// Of max_sockets, for users; every machine needs one of the rest.
inline constexpr double user_socket_share = 0.2;
// Listeners, timers, and connections that are just ending.
inline constexpr std::size_t reserved_sockets = 64;
// Each way; one is enough while nothing hangs.
inline constexpr std::size_t sockets_per_peer = 4;
// Connections to one endpoint, and callers that wait for one of them.
inline constexpr std::size_t max_connections_per_endpoint = 24;
inline constexpr std::size_t max_queued_requests_per_endpoint = 256;
// Of memory_mb, for one answer: a watch holds every change since the last, without a limit of its own. Parsed
// it takes five times its text, which is a third of the memory.
inline constexpr double response_memory_share = 1.0 / 16;
// For opening a connection.
inline constexpr double connect_timeout_s = 1.0;

}  // namespace pineroad::constants
