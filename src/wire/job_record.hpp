// Records of an accepted job.
//
//   pr/live/a/ID     {"class", "team", "image": text,
//                     "shape": 0 job array, 1 gang, 2 service,
//                     "prio": 0 production, 1 high, 2 normal, 3 low,
//                     "tasks": number of tasks,
//                     "need": resources of each task,
//                     "gb": size of the image,
//                     "one_zone", "spread", "spot": true or false,
//                     "est", "ckpt", "save": estimated run time, checkpoint interval and duration of saving
//                     a checkpoint, in seconds,
//                     "at": time of acceptance in milliseconds,
//                     "types", "zone", "due": allowed machine types, required zone and deadline in seconds,
//                     each only if the user gave it,
//                     "after": dependencies, only if there are any,
//                     "more": number of dependency records, only if there are any}
//   pr/live/w/ID/N   {"after": further dependencies}
//
// Dependencies are one text: ids without their common "j-", separated by blanks. A record holds twice as many
// of these as of an array.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// The job's record with its whole list of dependencies.
Json job_json(const model::JobSpec& spec);

// The same in several values: the job's own record, and those that hold the end of its list of dependencies.
struct JobRecords {
    Json job;
    std::vector<Json> dependencies;
};

// The job in values of at most so many bytes each; nothing if it takes more than so many dependency records.
std::optional<JobRecords> job_records(const model::JobSpec& spec, std::size_t max_value_bytes,
                                      std::size_t max_dependency_records);

// The job of its own record; nothing if malformed. The end of a long list of dependencies is missing still:
// the records that `dependency_records` counts hold it.
std::optional<model::JobSpec> parse_job(const std::string& id, const Json& value);

// The ids of one dependency record; nothing if malformed.
std::optional<std::vector<std::string>> parse_dependencies(const Json& value);

}  // namespace pineroad::wire::records
