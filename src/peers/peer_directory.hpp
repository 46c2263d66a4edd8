// Tracks the latest message from each of the other controllers, and when it arrived.
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

// The contact with one peer. Times are in seconds on the steady clock; -1 means never.
struct PeerContact {
    double request_sent_at = -1;      // when the request that it last responded to was sent
    double last_response_at = -1;     // when that response arrived
    double last_request_at = -1;      // when its last request arrived
    bool reads_format = false;        // whether it announced that it reads the current record format
    wire::PeerMessage last_response;  // the content of its last response

    // Returns whether the peer has neither responded to a request sent since `time` nor sent one itself.
    [[nodiscard]] bool silent_since(double time) const {
        return request_sent_at < time && last_request_at < time;
    }
};

// The configured peers and the contact with each of them.
class PeerDirectory final : public leadership::PeerView {
   public:
    // The settings must outlive the directory.
    explicit PeerDirectory(const config::Settings& settings);

    // Returns the number of peers. Indices follow the order of the settings; contact(i) belongs to peer(i).
    [[nodiscard]] std::size_t size() const { return contacts_.size(); }
    // Returns the peer's name and address.
    [[nodiscard]] const config::Peer& peer(std::size_t index) const { return settings_.peers[index]; }
    // Returns the contact with the peer.
    [[nodiscard]] const PeerContact& contact(std::size_t index) const { return contacts_[index]; }
    // Returns the index of the peer with this name, or nothing if there is none.
    [[nodiscard]] std::optional<std::size_t> find(const std::string& name) const;

    // Records a request from a peer. Ignores senders that are not in the settings.
    void record_request(const wire::PeerMessage& message);
    // Records a peer's response to the request that was sent at `sent_at`.
    void record_response(std::size_t index, double sent_at, wire::PeerMessage response);

    // Returns the latest response of each peer in the form that the lease guard evaluates.
    [[nodiscard]] std::vector<leadership::PeerConfirmation> confirmations() const;
    // Returns whether every peer responds and the store has served none of them since it began to refuse this
    // controller; `own_outage` describes that refusal.
    [[nodiscard]] bool store_down_for_all(const store::StoreOutage& own_outage) const;

    // --- leadership::PeerView ---
    // Returns the store contact of each peer, one entry per peer.
    [[nodiscard]] std::vector<leadership::PeerStoreContact> store_contacts() const override;
    // Returns whether a responsive peer that has been running for a few seconds recently received a
    // heartbeat.
    [[nodiscard]] bool heartbeats_reach_peer() const override;

   private:
    const config::Settings& settings_;
    std::vector<PeerContact> contacts_;
};

}  // namespace pineroad::peers
