// A term of leadership: who holds it, whether it is over, and the signals that its loops wait for.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "leadership/lease_guard.hpp"
#include "net/notification.hpp"

namespace pineroad::leadership {

// Why a term ended.
enum class EndReason {
    newer_term,          // a greater fencing token was seen
    watch_cache_lost,    // the watch cache has to be loaded anew
    state_not_loaded,    // the cluster state could not be read
    lease_expired,       // the store does not know the lease any more
    isolated,            // the store refuses this controller alone
    no_heartbeats,       // workers reach a peer but not this controller
    commit_unreadable,   // a transaction was committed, but at which revision is not known
    leader_key_removed,  // the leader's record is gone, or is another's
    commit_refused       // a transaction is refused as malformed, whatever its size
};

// The reason in words, for the log.
std::string_view to_string(EndReason reason);

// What identifies a term in the store.
struct TermIdentity {
    std::uint64_t fencing_token = 0;
    std::uint64_t lease = 0;
    std::uint64_t nonce = 0;         // random: tells this term's leader record from any other
    std::uint64_t mod_revision = 0;  // of the leader record
};

// Heartbeats whose responses are held back until there is work, by machine: at most one each.
class HeldResponses {
   public:
    // Holds the response of a machine's heartbeat; dropped when the object ends. The timer is cancelled when
    // the response should be sent.
    class Hold {
       public:
        // Wakes an older heartbeat of the machine: nobody waits for its response.
        Hold(HeldResponses& responses, const std::string& machine, net::Timer& timer);
        ~Hold();
        Hold(const Hold&) = delete;
        Hold& operator=(const Hold&) = delete;

       private:
        HeldResponses& responses_;
        const std::string& machine_;
        net::Timer& timer_;
    };
    // Wakes the heartbeat of one machine, if it is held.
    void release(const std::string& machine);
    // Wakes all of them.
    void release_all();

   private:
    std::map<std::string, net::Timer*> timers_;
};

// A term that this controller won. Whatever works for it ends once it is over.
class Term {
   public:
    // `leadership_changed` is notified when the term ends; it and the guard must outlive the term.
    Term(TermIdentity identity, double started_at, const LeaseGuard& lease_guard,
         net::Notification& leadership_changed);

    // The token that every command and record of this term carries.
    [[nodiscard]] std::uint64_t fencing_token() const { return identity_.fencing_token; }
    // Its identity in the store.
    [[nodiscard]] const TermIdentity& identity() const { return identity_; }
    // The revision of the leader record as the watch cache holds it.
    void set_mod_revision(std::uint64_t revision) { identity_.mod_revision = revision; }
    // When the lease was granted (seconds, steady clock).
    [[nodiscard]] double started_at() const { return started_at_; }

    // Whether the term has ended.
    [[nodiscard]] bool ended() const { return ended_; }
    // Ends the term and wakes everything that waits within it. Only the first call counts.
    void end(EndReason reason);
    // Whether tasks may be started, and whatever else needs the lease.
    [[nodiscard]] bool may_start_tasks() const;
    // Whether heartbeats may be answered.
    [[nodiscard]] bool may_answer_heartbeats() const;

    net::Notification commit_due;   // there may be something to commit
    net::Notification plan_due;     // something happened that planning should take into account
    net::Notification scaling_due;  // there may be something to ask of the cloud
    HeldResponses held_responses;

   private:
    TermIdentity identity_;
    const double started_at_;
    const LeaseGuard& lease_guard_;
    net::Notification& leadership_changed_;
    bool ended_ = false;
};

}  // namespace pineroad::leadership
