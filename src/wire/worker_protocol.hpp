// The interface to workers: their heartbeats, and commands in the answers to these or sent directly.
//
//   wire name              term
//   /checkin               heartbeat with status
//   /do                    direct command
//   Host, Address          machine, its address
//   Breed, Yard, Loaners   machine type, zone, spot instance
//   Stint                  agent epoch: a new one after each expiry of the machine's lease
//   Tick                   heartbeat sequence number
//   Baton                  fencing token
//   WarningS               interruption notice of a spot instance, in seconds
//   Pieces, Piece, Try     tasks, one of them, its attempt
//   Status                 task state: fetching, waiting: for its gang, running, saving: checkpointing,
//                          ended: exited
//   Cause                  exit cause: done, stopped, mates_gone: gang member lost, alone: gang incomplete,
//                          error, full: insufficient resources, busy: already running,
//                          unknown: unknown task
//   Saved                  its checkpoint was saved
//   Orders, Verb           commands, kind of a command: start, stop, reap: forget an exited task
//   LeewayS                grace period of a stop, in seconds
//   Foreman                leader that the worker should report to
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

// A worker's heartbeat, or what is wrong with it. An exited task with a cause that this version doesn't know
// counts as failed.
Parsed<model::Heartbeat> parse_heartbeat(std::string_view body);

// Body of the answer to a heartbeat: the worker executes the commands in their order.
std::string heartbeat_response(std::uint64_t fencing_token, const std::vector<model::Command>& commands);

// Body of a direct command: the worker refuses it when it knows a greater token or is in another epoch.
std::string direct_command_request(std::uint64_t fencing_token, std::uint64_t agent_epoch,
                                   const std::vector<model::Command>& commands);

// Body of an answer that sends the worker to the leader; an empty name sends it to any other controller.
std::string redirect_response(std::string_view leader);

}  // namespace pineroad::wire
