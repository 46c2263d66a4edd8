// What controllers tell each other, in CBOR. Hints and proofs of absence only: nothing here grants a right to
// act.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pineroad::wire {

struct Gossip {
    std::string node;
    std::uint64_t token = 0;          // highest term this node has heard of
    std::string leader;               // who holds it, if known
    std::uint64_t up_ms = 0;          // how long this process has been running
    std::uint64_t state_age_ms = 0;   // since its last contact with the state service (up_ms if none)
    std::uint64_t report_age_ms = 0;  // since a worker last reported here
    std::uint64_t epoch = 0;          // in a question: the revision up to which the asker's mirror holds all
    // In an answer: every cancellation known to this process above that revision. False: it can't say. In a
    // question: what the asker is about to tell a user.
    bool vouches = false;
    std::vector<std::pair<std::uint64_t, std::string>> cancelled;  // revision, job
    // Since version 0.5; earlier versions leave these out, and skip them.
    std::uint64_t format = 1;      // of records, the latest that this process reads
    bool asked_to_depend = false;  // a user asked this process for a job with dependencies
};

inline constexpr std::string_view gossip_path = "/gossip";
std::string gossip_bytes(const Gossip& g);
std::optional<Gossip> parse_gossip(std::string_view bytes);

}  // namespace pineroad::wire
