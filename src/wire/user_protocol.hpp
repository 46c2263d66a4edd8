// The protocol for users: submissions, polls, cancellations and the load balancer's health check.
//
//   wire name                term
//   /submissions             jobs: idempotent submission, poll
//   .../cancel               cancellation of a job
//   /up                      health check
//   NameId                   id of the job
//   Jobclass, Crew           job class, team
//   Shape                    shape of the job (batch: job array; group: gang; standing: service)
//   Urgency                  priority (production; high; standard: normal; best_effort: low)
//   Pieces                   number of tasks
//   Vcpus, Accelerators,
//   MemGb                    resources of each task: CPUs, GPUs, memory
//   Bundle, SizeGb           image and its size in GB
//   Breeds, Yard             allowed machine types, required zone
//   Together, Spread         all tasks in the same zone; at most half of them, rounded up, in one zone
//   Loaners                  whether spot instances are allowed
//   GuessS, NotchS, StashS   estimated run time, checkpoint interval, time to save a checkpoint, in seconds
//   DueS                     deadline in seconds after acceptance
//   WaitsOn                  dependencies: ids of the jobs that must be done first
//   Status                   job status (queued; running; done; withdrawn: cancelled)
//   done, running            number of tasks in each state
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
// Suffix that a cancellation's path adds to the path of the job.
inline constexpr std::string_view cancellation_suffix = "/cancel";
// Submission field that lists the dependencies. Public because error messages outside src/wire name it.
inline constexpr std::string_view dependencies_field = "WaitsOn";

// Parses a submission and returns the job, or an error that names the first invalid field. Unknown fields are
// ignored. `accepted_ms` and `dependency_records` are not part of a submission and keep their defaults.
Parsed<model::JobSpec> parse_submission(std::string_view body);

// Status of a job as reported to users.
enum class JobStatus { queued, running, done, cancelled };

// Task counts that a response shows to the user: completed tasks, and tasks placed on a machine.
struct DisplayedTaskCounts {
    std::uint64_t done = 0;
    std::uint64_t running = 0;
};

// Returns the body of the response to a submission, a poll or a cancellation.
std::string job_status_response(std::string_view id, JobStatus status,
                                std::optional<DisplayedTaskCounts> counts = {});

// Returns the body of an error response.
std::string error_response(std::string_view reason);

}  // namespace pineroad::wire
