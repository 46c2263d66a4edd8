// The protocol with workers: heartbeats, and commands that are sent in heartbeat responses or directly.
//
//   wire name              term
//   /checkin               heartbeat, with the state of the machine and its tasks
//   /do                    direct command
//   Host, Address          name and address of the machine
//   Breed, Yard, Loaners   machine type, zone, whether it is a spot instance
//   Stint                  agent epoch; a new one starts each time the machine's lease expires
//   Tick                   heartbeat sequence number
//   Baton                  fencing token
//   WarningS               interruption notice of a spot instance, in seconds
//   Pieces, Piece, Try     tasks, one task, its attempt
//   Status                 task state (fetching; waiting: for its gang; running; saving: checkpointing;
//                          ended: exited)
//   Cause                  exit cause (done; stopped; mates_gone: gang member lost; alone: gang incomplete;
//                          error; full: insufficient resources; busy: already running;
//                          unknown: unknown task)
//   Saved                  whether the task's checkpoint was saved
//   Orders, Verb           commands, kind of a command (start; stop; reap: forget an exited task)
//   LeewayS                grace period of a stop, in seconds
//   Foreman                leader to which the worker should send its heartbeats
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/model.hpp"
#include "wire/invalid_request.hpp"

namespace pineroad::wire {

inline constexpr std::string_view heartbeat_path = "/checkin";
inline constexpr std::string_view direct_command_path = "/do";

// Parses a heartbeat. A missing exit cause, or one unknown to this version, is treated as `error`.
Parsed<model::Heartbeat> parse_heartbeat(std::string_view body);

// Returns the body of a heartbeat response. The worker executes the commands in order.
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands);

// Returns the body of a direct command. A worker rejects it if it knows a higher fencing token or is in
// another epoch.
std::string direct_command_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<model::Command>& commands);

// Returns the body of a response that redirects the worker to the leader; an empty name redirects it to any
// other controller.
std::string redirect_response(std::string_view leader);

}  // namespace pineroad::wire
