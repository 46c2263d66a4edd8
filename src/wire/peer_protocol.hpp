// The protocol between controllers: one CBOR message type, used for both requests and responses. Messages
// carry only hints and confirmations; the right to act as the leader comes from the store alone.
//
//   wire name         term
//   /gossip           peer message
//   node              sending controller
//   token, leader     highest fencing token known to the sender, holder of that token
//   up_ms             uptime
//   state_age_ms      time since the sender's last contact with the store
//   report_age_ms     time since the sender received the last heartbeat of any worker
//   epoch             revision of the store
//   vouches           confirms that the list of cancellations is complete
//   cancelled         cancellations: alternating revisions and job ids
//   format            latest record format that the sender reads
//   asked_to_depend   whether a user has submitted a job with dependencies
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pineroad::wire {

inline constexpr std::string_view peer_message_path = "/gossip";

// State that one controller reports to another.
struct PeerMessage {
    std::string node;                        // the sender
    std::uint64_t fencing_token = 0;         // highest one that the sender has seen
    std::string leader;                      // its holder; empty if unknown
    std::uint64_t uptime_ms = 0;             // of the sender's process
    std::uint64_t store_contact_age_ms = 0;  // since the last contact with the store (uptime if none)
    std::uint64_t heartbeat_age_ms = 0;      // since the last heartbeat from a worker (uptime if none)
    std::uint64_t revision = 0;              // in a request: up to which the sender's watch cache is complete
    // In a response: whether `cancelled` contains every cancellation above the request's revision that the
    // sender knows of. False if the sender cannot tell.
    bool confirms_cancellations = false;
    // Revision and job id of each cancellation. In a request: the cancellations that the sender is about to
    // confirm to a user.
    std::vector<std::pair<std::uint64_t, std::string>> cancelled;
    // Since version 0.5: earlier versions neither send nor read the fields below.
    std::uint64_t record_format = 1;      // latest one that the sender reads
    bool dependencies_requested = false;  // a user asked for a job with dependencies
};

// Returns the message encoded as CBOR.
std::string encode_peer_message(const PeerMessage& message);

// Parses a message. Unknown fields are ignored. Returns std::nullopt if the message is malformed or lacks a
// field that every version sends.
std::optional<PeerMessage> parse_peer_message(std::string_view bytes);

}  // namespace pineroad::wire
