// The interface between controllers: one message, in CBOR, both as request and as answer. It carries hints
// and confirmations only: nothing here grants a right to act.
//
//   wire name         term
//   /gossip           peer message
//   node              the controller that sends it
//   token, leader     highest fencing token that it knows, holder of that token
//   up_ms             uptime
//   state_age_ms      time since its last contact with the store
//   report_age_ms     time since its last heartbeat of any worker
//   epoch             revision of the store
//   vouches           confirms that its list of cancellations is complete
//   cancelled         cancellations: revision and job in turn
//   format            format of stored records
//   asked_to_depend   dependencies were requested
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pineroad::wire {

inline constexpr std::string_view peer_message_path = "/gossip";

// What one controller knows, for another.
struct PeerMessage {
    std::string node;                        // the sender
    std::uint64_t fencing_token = 0;         // the highest that the sender has seen
    std::string leader;                      // who holds it, if known
    std::uint64_t uptime_ms = 0;             // of the sender's process
    std::uint64_t store_contact_age_ms = 0;  // since its last contact with the store (the uptime if none)
    std::uint64_t heartbeat_age_ms = 0;      // since a worker's last heartbeat to it
    std::uint64_t revision = 0;              // in a request: up to which the sender's watch cache holds all
    // In an answer: `cancelled` holds every cancellation above the request's revision that the sender knows.
    // False: it can't say.
    bool confirms_cancellations = false;
    // Revision and job of each. In a request: those that the sender is about to confirm to a user.
    std::vector<std::pair<std::uint64_t, std::string>> cancelled;
    // Since version 0.5; earlier versions leave these out, and skip them.
    std::uint64_t record_format = 1;      // of records, the latest that this process reads
    bool dependencies_requested = false;  // a user asked this process for a job with dependencies
};

// The message in CBOR.
std::string encode_peer_message(const PeerMessage& message);

// The reverse. Fields that this version doesn't know are skipped. Nothing: malformed, or a field is missing
// that every version sends.
std::optional<PeerMessage> parse_peer_message(std::string_view bytes);

}  // namespace pineroad::wire
