// What each of the other controllers last said of itself, and when.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "leadership/election.hpp"
#include "leadership/lease_guard.hpp"
#include "store/store_client.hpp"
#include "wire/peer_protocol.hpp"

namespace pineroad::peers {

// One peer. Times are in seconds on the steady clock; -1: never.
struct PeerContact {
    double contacted_at = -1;     // when the message was sent that its last answer belongs to
    double answered_at = -1;      // when that answer came
    double last_request_at = -1;  // when its last message came
    bool reads_format = false;    // it was seen to read the present record format
    wire::PeerMessage last;       // its last answer

    // Whether it has neither answered nor sent anything since then.
    [[nodiscard]] bool silent_since(double time) const {
        return contacted_at < time && last_request_at < time;
    }
};

// The peers of the settings, and what is known of each.
class PeerDirectory final : public leadership::PeerView {
   public:
    // The settings must outlive the directory.
    explicit PeerDirectory(const config::Settings& settings);

    // The peers in the order of the settings; contact(i) belongs to peer(i).
    [[nodiscard]] std::size_t size() const { return contacts_.size(); }
    // A peer's name and address.
    [[nodiscard]] const config::Peer& peer(std::size_t index) const { return settings_.peers[index]; }
    // What is known of it.
    [[nodiscard]] const PeerContact& contact(std::size_t index) const { return contacts_[index]; }
    // The index of the peer of that name; nothing if there is none.
    [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const;

    // A message came from a peer.
    void record_request(const wire::PeerMessage& message);
    // A peer answered a message that was sent at `sent`.
    void record_response(std::size_t index, double sent, wire::PeerMessage answer);

    // The latest answers, as the lease guard weighs them.
    [[nodiscard]] std::vector<leadership::PeerConfirmation> confirmations() const;
    // Every peer answers, and the store has served none of them since it refused this controller.
    [[nodiscard]] bool store_down_for_all(const store::StoreOutage& own) const;

    // --- leadership::PeerView ---
    // One entry for each peer.
    [[nodiscard]] std::vector<leadership::PeerStoreContact> store_contacts() const override;
    // Some peer that answers, and has been running for a while, lately received one.
    [[nodiscard]] bool heartbeats_reach_peer() const override;

   private:
    const config::Settings& settings_;
    std::vector<PeerContact> contacts_;
};

}  // namespace pineroad::peers
