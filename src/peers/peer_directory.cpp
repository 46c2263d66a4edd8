#include "peers/peer_directory.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/records.hpp"

namespace pineroad::peers {

namespace c = constants;
namespace records = wire::records;
using store::steady_now_s;

namespace {

// A peer counts as reachable by workers if it received a heartbeat within this time and has been running for
// longer than this: a peer that has received none reports its uptime as the age of the latest.
constexpr std::uint64_t recent_heartbeat_ms = 4000;

leadership::PeerStoreContact store_contact(const PeerContact& peer) {
    return {peer.request_sent_at, static_cast<double>(peer.last_response.store_contact_age_ms) / 1000.0};
}

}  // namespace

PeerDirectory::PeerDirectory(const config::Settings& settings)
    : settings_(settings), contacts_(settings.peers.size()) {}

std::optional<std::size_t> PeerDirectory::find(const std::string& name) const {
    for (std::size_t i = 0; i < settings_.peers.size(); ++i)
        if (settings_.peers[i].name == name) return i;
    return std::nullopt;
}

void PeerDirectory::record_request(const wire::PeerMessage& message) {
    const auto index = find(message.node);
    if (!index) return;
    contacts_[*index].last_request_at = steady_now_s();
    contacts_[*index].reads_format |= message.record_format >= records::record_format;
}

void PeerDirectory::record_response(std::size_t index, double sent_at, wire::PeerMessage response) {
    PeerContact& contact = contacts_[index];
    contact.request_sent_at = sent_at;
    contact.last_response_at = steady_now_s();
    contact.reads_format |= response.record_format >= records::record_format;
    contact.last_response = std::move(response);
}

std::vector<leadership::PeerConfirmation> PeerDirectory::confirmations() const {
    std::vector<leadership::PeerConfirmation> confirmations;
    for (const auto& peer : contacts_)
        confirmations.push_back({peer.request_sent_at, peer.last_response_at,
                                 static_cast<double>(peer.last_response.uptime_ms) / 1000.0,
                                 peer.last_response.confirms_cancellations});
    return confirmations;
}

bool PeerDirectory::store_down_for_all(const store::StoreOutage& own_outage) const {
    const double now = steady_now_s();
    return std::all_of(contacts_.begin(), contacts_.end(), [&](const PeerContact& peer) {
        return peer.request_sent_at >= now - c::recent_peer_contact_s &&
               !leadership::LeaseGuard::store_serves_peer(now, own_outage, store_contact(peer));
    });
}

std::vector<leadership::PeerStoreContact> PeerDirectory::store_contacts() const {
    std::vector<leadership::PeerStoreContact> contacts;
    for (const auto& peer : contacts_) contacts.push_back(store_contact(peer));
    return contacts;
}

bool PeerDirectory::heartbeats_reach_peer() const {
    const double oldest_recent_contact = steady_now_s() - c::recent_peer_contact_s;
    return std::any_of(contacts_.begin(), contacts_.end(), [&](const PeerContact& peer) {
        return peer.request_sent_at > oldest_recent_contact &&
               peer.last_response.heartbeat_age_ms < recent_heartbeat_ms &&
               peer.last_response.uptime_ms > recent_heartbeat_ms;
    });
}

}  // namespace pineroad::peers
