// The interface to users: submissions, polls, cancellations and the health probe of the load balancer.
//
//   wire name                term
//   /submissions             jobs: idempotent submission, poll, cancellation
//   .../cancel               cancellation
//   /up                      health probe
//   NameId                   id of the job
//   Jobclass, Crew           job class, team
//   Shape                    batch: job array; group: gang; standing: service
//   Urgency                  priority: production, high, standard: normal, best_effort: low
//   Pieces                   number of tasks
//   Vcpus, Accelerators,
//   MemGb                    resources of each task: CPUs, GPUs, memory
//   Bundle, SizeGb           image and its size
//   Breeds, Yard             allowed machine types, required zone
//   Together, Spread         all tasks in the same zone; at most half of them, rounded up, in one zone
//   Loaners                  allows spot instances
//   GuessS, NotchS, StashS   estimated run time, checkpoint interval, duration of saving a checkpoint
//   DueS                     deadline
//   WaitsOn                  dependencies of the job (DAG)
//   Status                   job status: queued, running, done, withdrawn: cancelled
//   done, running            task counts
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/model.hpp"
#include "wire/invalid_request.hpp"

namespace pineroad::wire {

inline constexpr std::string_view submissions_path = "/submissions";
inline constexpr std::string_view health_path = "/up";
// What a cancellation's path has after the job's.
inline constexpr std::string_view cancellation_suffix = "/cancel";
// The field of a submission that names its dependencies, for the reasons of a refusal.
inline constexpr std::string_view dependencies_field = "WaitsOn";

// The job of a submission, or the first field that is wrong. Every field must have its type and range; fields
// of other names are ignored. `accepted_ms` and `dependency_records` are not the user's and stay as they are.
Parsed<model::JobSpec> parse_submission(std::string_view body);

// What a user is told of a job.
enum class JobStatus { queued, running, done, cancelled };

// How many tasks of a job are done, and how many are placed: for display only.
struct TaskCounts {
    std::uint64_t done = 0;
    std::uint64_t running = 0;
};

// Body of the answer to a submission, a poll or a cancellation.
std::string job_status_response(std::string_view id, JobStatus status, std::optional<TaskCounts> counts = {});

// Body of every answer that refuses a request.
std::string error_response(std::string_view reason);

}  // namespace pineroad::wire
