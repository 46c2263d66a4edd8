// Records that the service keeps in the key-value store, all of them under "pr/". The keys and formats are in
// use by deployed versions and must not change. Each kind of record has a header in this folder that lists
// its fields; this header includes all of them.
//
//   pr/live/leader   current leader and its fencing token; attached to the leader's lease
//   pr/live/term     latest fencing token issued; it only increases
//   pr/live/types    machine types: every controller uses them to reject jobs that can never run
//   pr/live/means    average slowdown by job category
//   pr/live/format   controllers known to read format 2 (see below); it is written only once all of them do
//   pr/live/a/ID     accepted job; "after" holds its dependencies, without their prefix "j-" (format 2)
//   pr/live/w/ID/N   dependency record: part of a list of dependencies too long for the job's record. "more"
//                    in the job's record is the number of dependency records; they are written and removed
//                    together with it (format 2)
//   pr/live/s/N      segment: progress and placements of several jobs. If several segments contain the same
//                    entry, the one with the highest sequence is current. Null is a tombstone: the entry was
//                    removed. A segment that is no longer needed is overwritten (compaction), never removed.
//                    A job's entry covers all of its tasks. In format 2 a large job has one entry for each
//                    shard of its tasks (ID, ID#1, ID#2 ...), each marked as covering one shard ("c"). It
//                    applies to the tasks of its shard; an entry of the whole job applies only to tasks whose
//                    shard has no entry of its own
//   pr/live/p/ID     progress of one job, as written by version 0.1: still read, never written; entries of
//                    segments take precedence
//   pr/live/rentals  open provisioning requests (the cloud has not responded yet), by name
//   pr/live/r/NAME   one provisioning request, as written by version 0.2: still read, never written
//   pr/final/ID      outcome of a finished job and, since version 0.5, the time when it finished
#pragma once

#include "wire/category_averages_record.hpp"
#include "wire/format_record.hpp"
#include "wire/job_record.hpp"
#include "wire/leadership_records.hpp"
#include "wire/outcome_record.hpp"
#include "wire/progress_record.hpp"
#include "wire/protocol.hpp"
#include "wire/provisioning_records.hpp"
#include "wire/record_keys.hpp"
#include "wire/segment_record.hpp"
