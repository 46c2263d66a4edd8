// What the service itself keeps in the key-value store: keys and values, all of them under "pr/". Names and
// forms are those of versions that are in use and never change; a file of this folder for each kind of record
// says its fields.
//
//   pr/live/leader   leader: who leads, with its fencing token (attached to that controller's lease)
//   pr/live/term     the last fencing token given out; it only ever grows
//   pr/live/types    machine types, so that every controller can tell what can never run
//   pr/live/means    averages of slowdown by category
//   pr/live/format   the controllers that were seen to read format 2 (below); written once all of them were
//   pr/live/a/ID     accepted job; "after": its dependencies, without their "j-" (format 2)
//   pr/live/w/ID/N   dependency record: the end of a long list of dependencies. "more" of these belong to the
//                    job's record, and they are written and removed with it (format 2)
//   pr/live/s/N      segment: progress and placements of several jobs. Of an entry in several segments, the
//                    one with the greatest sequence counts; null there is a tombstone: nothing of it is left.
//                    A segment that nobody needs any more is overwritten (compaction), never removed.
//                    The entry of a job covers all its tasks. In format 2 a large job has an entry for each
//                    shard of its tasks, ID and ID#1, ID#2 ..., each marked as partial: such an entry counts
//                    for the tasks of its shard, and an entry of the whole job only for tasks without one
//   pr/live/p/ID     progress of one job, as version 0.1 wrote it: still read, older than any segment
//   pr/live/rentals  the provisioning requests that are not answered yet, by name
//   pr/live/r/NAME   one of them: read because version 0.2 wrote it, never written
//   pr/final/ID      outcome of a job that ended: how, and since version 0.5 when
//
// This header includes all of them.
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
