// Records of an accepted job.
//
//   pr/live/a/ID     {"class", "team", "image": text,
//                     "shape": 0 job array, 1 gang, 2 service,
//                     "prio": 0 production, 1 high, 2 normal, 3 low,
//                     "tasks": number of tasks,
//                     "need": resources of each task,
//                     "gb": size of the image,
//                     "one_zone", "spread", "spot": true or false,
//                     "est", "ckpt", "save": estimated run time, checkpoint interval and time to save a
//                     checkpoint, in seconds,
//                     "at": time of acceptance in milliseconds,
//                     "types", "zone", "due": allowed machine types, required zone and deadline in seconds,
//                     each only if the user set it,
//                     "after": dependencies, only if there are any,
//                     "more": number of dependency records, only if there are any}
//   pr/live/w/ID/N   {"after": further dependencies}
//
// Dependencies are stored as one string of ids without their common prefix "j-", separated by spaces. A
// record holds twice as many ids in this form as in a JSON array.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Returns the job's record with its complete list of dependencies.
Json job_json(const model::JobSpec& spec);

// A job split into several values: the job's own record, and the dependency records that hold the rest of a
// long list of dependencies.
struct JobRecords {
    Json job;
    std::vector<Json> dependencies;
};

// Splits the job into values of at most `max_value_bytes` each. Returns std::nullopt if that takes more than
// `max_dependency_records` dependency records, or if the other fields alone exceed a value.
std::optional<JobRecords> job_records(const model::JobSpec& spec, std::size_t max_value_bytes,
                                      std::size_t max_dependency_records);

// Parses the job's own record. Returns std::nullopt if it is malformed. If `dependency_records` is not 0, the
// rest of the list of dependencies is in that many dependency records.
std::optional<model::JobSpec> parse_job(const std::string& id, const Json& value);

// Returns the ids in one dependency record; std::nullopt if it is malformed.
std::optional<std::vector<std::string>> parse_dependencies(const Json& value);

}  // namespace pineroad::wire::records
