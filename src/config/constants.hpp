// Every constant of the service, with its unit and the reason for its value.
// Values an operator may want to change stand in Tuning (tuning.hpp); these are their defaults and ranges.
#pragma once

#include <cstddef>
#include <cstdint>

namespace pineroad::constants {

// --- leadership -------------------------------------------------------------------------------------------
inline constexpr int lease_ttl_ms =
    5000;  // short enough for takeover in seconds, long enough for a slow node
inline constexpr double lease_renew_s = 1.2;  // four tries inside one lease
inline constexpr double lease_margin_s =
    0.5;  // taken off what is left of a lease: scheduling delay of this process
// After the time until which a lease is proven, it may still live at the state service: the margin taken off
// above, the renewal's own way and the 100 ms by which a lease may end late.
inline constexpr double lease_expiry_margin_s = 1.0;
// A leader whose lease has run out and who hears no peer keeps its workers this much longer: a new leader
// needs about as long to be elected and to read its picture.
inline constexpr double isolated_leader_grace_s = 4.0;
inline constexpr double peer_contact_fresh_s = 3.0;  // gossip passes every second
inline constexpr double clock_drift = 0.001;         // twice the 0.05% by which two steady clocks may differ
inline constexpr double election_retry_s = 0.4;      // between tries for a vacant term
inline constexpr double election_backoff_s =
    25.0;  // after giving up a term for want of reports: let a peer have it
inline constexpr double no_heartbeat_step_down_s =
    10.0;  // no report at all for so long, while a peer gets some: give the term up

// --- state service ----------------------------------------------------------------------------------------
inline constexpr double store_timeout_s = 1.5;  // answers take 10 ms, now and then a few hundred
inline constexpr double commit_timeout_s = 2.0;
inline constexpr double watch_block_s = 2.0;  // watches return at least so often: they prove the mirror's age
// Shares of the state service's requests, divided by the number of nodes: checks of freshness for users, and
// watches. What is left is for commits, and for lease renewals, which nothing may starve.
inline constexpr double linearizable_read_share = 0.35, watch_share = 0.25;
inline constexpr double watch_gap_leader_s = 0.05;  // the leader hears of jobs and cancellations sooner
inline constexpr double commit_gap_s = 0.15;        // changes of this long share a transaction: write budget
inline constexpr std::size_t target_batch_changes =
    4;  // changes worth a transaction: a segment and a job's end
// A batch that is refused as malformed, because the limits fell lower than was announced: each time the next
// one is half as large, and after so many the term ends.
inline constexpr int max_rejected_batches = 4;
inline constexpr std::size_t min_batch_changes = 2;
inline constexpr std::size_t max_transaction_bytes =
    56UL * 1024;                                  // protocol: 64 KiB overall, less room for the frame
inline constexpr double value_fill_ratio = 0.85;  // of value_kb: room left for stamps and digits that grow
inline constexpr int list_page = 200;             // keys a page when the mirror is read anew
inline constexpr double store_retry_s = 0.3;      // after a refusal by the state service
// Of write_rps: what the leader uses in all, less what it sees users' acceptances and cancellations take; of
// its own share it keeps this part however many they are, since decisions go before submissions.
inline constexpr double write_share = 0.95, leader_reserved_share = 0.55;
inline constexpr double store_contact_fresh_s = 4.0;  // contact within this: the node can serve users
// What a change takes in a transaction beside its value, estimated from above: keys, conditions, punctuation.
inline constexpr std::size_t machine_types_frame_bytes = 100;
inline constexpr std::size_t provisioning_frame_bytes = 200;
inline constexpr std::size_t segment_frame_bytes = 200;
inline constexpr std::size_t segment_reserve_bytes = 400;   // free beside a segment before an entry is added
inline constexpr std::size_t entry_frame_bytes = 10;        // of an entry in a segment, beside its name
inline constexpr std::size_t tombstone_reserve_bytes = 40;  // free beside a tombstone's name in a segment
inline constexpr std::size_t removal_frame_bytes = 40;      // of a removal, beside its key twice
inline constexpr std::size_t outcome_reserve_bytes = 600;   // of a job's final record and its removals
inline constexpr std::size_t dependency_removal_bytes = 100;  // ... and of each further dependency record
inline constexpr std::size_t outcome_bytes = 100;             // counted for a final record
inline constexpr std::size_t progress_removal_bytes = 200;    // of a progress record of version 0.1
inline constexpr std::size_t category_averages_bytes = 2000;  // of all categories

// --- users ------------------------------------------------------------------------------------------------
inline constexpr std::size_t max_body = 64UL * 1024;      // protocol
inline constexpr std::uint32_t max_tasks = 100000;        // protocol
inline constexpr std::size_t max_text = 200;              // longest name accepted in a submission
inline constexpr std::size_t max_list = 64;               // most machine types named in a submission
inline constexpr std::size_t outcome_cache_size = 20000;  // final states kept in memory (about 60 bytes each)
inline constexpr std::size_t max_user_inflight = 200;  // submissions and cancellations being decided at once
inline constexpr std::size_t max_poll_inflight = 400;
inline constexpr double lag_rejects_submissions_s =
    0.4;                                            // event loop this late: submissions are refused first
inline constexpr double lag_rejects_polls_s = 1.2;  // ... and this late: polls too; reports never
inline constexpr int retry_after_min_s = 1,
                     retry_after_max_s = 4;  // spread, so that the refused don't return at once

// --- dependencies -----------------------------------------------------------------------------------------
// Names in one list. With names of the usual eight characters so many fit into three values of 2 KiB.
inline constexpr std::size_t max_dependencies = 500;
// Further records for the end of a long list. With the job's own record and its final one they are dropped in
// one transaction, of which the smallest takes four changes.
inline constexpr std::size_t dependency_records = 2;
// Look-ups of dependencies that one request may cost; the next try of its user finds these remembered.
inline constexpr int max_dependency_lookups = 64;
inline constexpr double dependency_period_s = 0.3;  // a waiting job may start once its dependencies are known
// From the end of a job to the start of those after it, beyond their run times: a report, two commits, an
// answer, an image.
inline constexpr double dependency_overhead_s = 8.0;
// A controller that was never seen to read the present format, and is silent for so long after a user asked
// for a job with dependencies, is not waited for: nobody asks before every controller is replaced.
inline constexpr double format_silence_s = 10.0;
inline constexpr double format_period_s = 0.5;  // five controllers are seen within two rounds of gossip
// Tasks of one entry in a segment. At 36 bytes each they fit a value of 2 KiB with its frame; fewer would
// repeat the frame more often, more would write more again for every task that starts or ends.
inline constexpr std::uint32_t tasks_per_shard = 32;

// --- workers ----------------------------------------------------------------------------------------------
inline constexpr double heartbeat_hold_s =
    0.9;  // a report's answer may wait this long for a plan and its commit
inline constexpr double heartbeat_hold_idle_s =
    2.8;  // ... and that of a machine without work for some to come; workers drop answers after 4 s
inline constexpr double min_wait_s =
    0.001;  // timers fire in steps of a millisecond: a shorter wait would turn in place
inline constexpr double lag_disables_hold_s =
    0.4;  // event loop this late: nothing is held, answers would be too late
inline constexpr double heartbeat_periods_usable =
    2.5;  // of report_s: a machine unheard for longer gets nothing new
// A machine unheard for this many report periods and the margin while others are heard is lost: two reports a
// quarter late, and one that met a dead connection (4 s) and another node (1 s).
inline constexpr double failure_detection_periods = 2.5, failure_detection_margin_s = 6.5;
inline constexpr int max_unacknowledged_heartbeats =
    2;  // reports in a row that ignore orders: nothing reaches the machine
inline constexpr std::size_t partitioned_machines_tolerated =
    5;  // more, and a fifth of all: the fault may be ours
inline constexpr double cancellation_margin_s =
    4.0;  // kept free of cancel_s when answering without the state service
inline constexpr double min_disconnected_grace_s =
    6.0;  // where cancel_s leaves no time after lease_s: two watches and their retries
inline constexpr int max_machine_errors =
    2;  // tasks of different jobs failing in a row: the machine is faulty
inline constexpr int max_job_error_machines = 3;  // a job failing on so many machines is itself at fault
inline constexpr double error_pause_s = 4.0;      // first wait before a failed task is tried again; doubles
inline constexpr double error_pause_max_s = 60.0;
inline constexpr double direct_command_timeout_s = 2.0;
// Stops on their way to workers at once. A round may stop hundreds of tasks, and a machine that hangs keeps
// its connection for the timeout: with all of these hanging, a gang of 32 is still told within two seconds.
inline constexpr std::size_t max_stops_in_flight = 64;
inline constexpr std::size_t max_queued_stops =
    4096;                                         // machines; what is dropped follows in answers to reports
inline constexpr std::size_t max_commands = 200;  // orders in one answer: 64 KiB a line

// Names of released machines remembered within a term: copies of reports come minutes late. The count bounds
// memory (4 MB); a fleet of thousands would have to be replaced ten times within the hour to reach it.
inline constexpr double released_machine_retention_s = 3600;
inline constexpr std::size_t max_released_machines = 50000;
inline constexpr std::size_t max_cached_images =
    32;  // names a machine's cache is taken to hold, by their size too
inline constexpr double estimate_bias_weight =
    0.1;  // of one task in its class's run time over guess: ten tasks set it
inline constexpr double min_estimate_bias = 0.3,
                        max_estimate_bias = 3.0;  // protocol: guesses are often wrong by half, sometimes more

// --- planning ---------------------------------------------------------------------------------------------
inline constexpr double plan_period_s = 0.5;  // at least so often: clocks go on without reports
// What a spot machine costs a job of a pipeline, beside an image fetch: of its hundreds of tasks one or two
// are lost with such machines, which is seen seconds later, and every stage after it waits for the
// repetition.
inline constexpr double pipeline_spot_cost_s = 30.0;
// ... and what an empty machine costs it, of whatever kind: with small tasks on it a class that needs such a
// machine whole would have to wait, while nearly every machine in use has room beside its large tasks.
inline constexpr double pipeline_empty_cost_s = 45.0;
inline constexpr double plan_gap_s = 0.2;  // at most so often: what is reported meanwhile is planned together
inline constexpr double capacity_period_s = 1.0;         // an answer of the cloud takes a few hundred ms
inline constexpr std::size_t pending_task_window = 512;  // waiting tasks of one job looked at in a round
inline constexpr double record_frame_bytes = 400;        // of a progress record without its lists
inline constexpr double record_entry_bytes = 36;  // of one placement or one hole in the done set, at most
inline constexpr double deferred_write_s =
    1.0;  // what nothing waits for is written together, or with what does
// Segments kept beside one for every so many entries, or fewer where a value is small: beyond, one is emptied
// into the others.
inline constexpr std::size_t min_segments = 10, min_segment_entries = 8;
inline constexpr double segment_entry_bytes = 900;  // twice a usual entry: half-empty segments are emptied
inline constexpr double category_averages_period_s =
    30;                                            // the means move slowly: one write for many completions
inline constexpr double demand_window_s = 300;     // arrivals looked back at
inline constexpr double demand_settle_s = 15;      // a first crowd of a class says nothing of its rate
inline constexpr double min_demand_window_s = 60;  // rates are taken over at least this long
inline constexpr std::size_t demand_classes = 200, demand_arrivals = 2000;  // memory
inline constexpr double lag_period_s = 0.1;  // how often the event loop's lateness is measured

// --- cloud ------------------------------------------------------------------------------------------------
inline constexpr double cloud_timeout_s = 5.0;
inline constexpr double list_period_s = 5.0;
inline constexpr double machine_types_period_s = 30.0;
inline constexpr double no_capacity_backoff_s = 8.0;  // after 'no capacity' by type, zone and kind; doubles
inline constexpr double no_capacity_backoff_max_s = 40.0;
inline constexpr double boot_patience = 3.5;  // times the nominal boot time before a machine is given up
inline constexpr double boot_patience_min_s = 60.0;
inline constexpr double minimum_charge_s = 60.0;      // protocol: a deleted machine costs at least this
inline constexpr int max_machines_per_request = 50;   // protocol
inline constexpr int max_machines_per_release = 100;  // protocol
inline constexpr double cloud_share = 0.7;            // of cloud.rps used

// --- mesh -------------------------------------------------------------------------------------------------
inline constexpr double peer_message_period_s = 1.0;
inline constexpr double peer_message_timeout_s = 0.9;
inline constexpr double forward_cancellation_timeout_s =
    0.3;  // a user waits for it; peers answer within milliseconds
// Cancellations in one message: what may pass while a node hears nothing of the state service, some minutes
// of a crowd (four jobs a second, half of them called off); about 15 bytes each.
inline constexpr std::size_t max_cancellations_per_message = 2000;
inline constexpr std::size_t max_cancellations_kept =
    10000;  // by a process, the latest; about 100 bytes each

// --- connections ------------------------------------------------------------------------------------------
// A silent connection is closed: dead ones, left by a cut, would count beside those that replace them.
inline constexpr double first_request_s = 10.0;  // whoever connects asks at once
inline constexpr double user_idle_s = 45.0;      // users poll every 5 s, and wait 30 s at most when told to
inline constexpr double heartbeat_periods_idle =
    2.5;                                             // of report_s, and the worker's own wait for an answer:
inline constexpr double heartbeat_response_s = 4.0;  // protocol: workers drop answers after this
inline constexpr double body_timeout_s = 10.0;
inline constexpr double write_timeout_s = 10.0;
inline constexpr double accept_pause_s = 0.1;       // after a failed accept (no sockets left)
inline constexpr int accept_backlog = 512;          // connections the kernel holds until they are accepted
inline constexpr double user_share = 0.2;           // of max_sockets; every machine needs one of the rest
inline constexpr std::size_t spare_sockets = 64;    // listeners, timers, and connections that are just ending
inline constexpr std::size_t sockets_per_peer = 4;  // each way; one is enough while nothing hangs
inline constexpr std::size_t client_connections = 24;  // to one endpoint
inline constexpr std::size_t client_queue = 256;       // callers waiting for one of them
// An answer's size: a watch holds every change since the last, without a limit of its own. Parsed it takes
// five times its text; of memory_mb that is a third.
inline constexpr double answer_memory_share = 1.0 / 16;
inline constexpr double connect_timeout_s = 1.0;

}  // namespace pineroad::constants
