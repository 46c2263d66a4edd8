// A leadership term: its identity, whether it has ended, and the notifications that its loops wait for.
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
    newer_term,          // a higher fencing token was observed
    watch_cache_lost,    // the watch cache must be reloaded
    state_not_loaded,    // the cluster state could not be read
    lease_expired,       // the store no longer knows the lease
    isolated,            // the store refuses only this controller
    no_heartbeats,       // workers reach a peer but not this controller
    commit_unreadable,   // a transaction was committed, but its revision could not be read
    leader_record_lost,  // the leader record is gone or belongs to another term
    commit_rejected      // a transaction was rejected as malformed, whatever its size
};

// Returns the text of a reason for the log.
std::string_view to_string(EndReason reason);

// Identifies a term in the store.
struct TermIdentity {
    std::uint64_t fencing_token = 0;
    std::uint64_t lease = 0;
    std::uint64_t nonce = 0;         // random; distinguishes this term's leader record from all others
    std::uint64_t mod_revision = 0;  // of the leader record
};

// Heartbeat responses that are held until there is work for the machine; at most one per machine.
class HeldResponses {
   public:
    // Registers the held response of one machine for the lifetime of the object. The timer is cancelled when
    // the response should be sent.
    class Hold {
       public:
        // Cancels the timer of an older heartbeat of the machine: the worker no longer waits for its
        // response.
        Hold(HeldResponses& responses, const std::string& machine, net::Timer& timer);
        ~Hold();
        Hold(const Hold&) = delete;
        Hold& operator=(const Hold&) = delete;

       private:
        HeldResponses& responses_;
        const std::string& machine_;
        net::Timer& timer_;
    };
    // Releases the held response of one machine, if there is one.
    void release(const std::string& machine);
    // Releases all held responses.
    void release_all();

   private:
    std::map<std::string, net::Timer*> timers_;
};

// A term that this controller won. All work for the term stops once it has ended.
class Term {
   public:
    // `leadership_changed` is notified when the term ends; it and `lease_guard` must outlive the term.
    Term(TermIdentity identity, double started_at, const LeaseGuard& lease_guard,
         net::Notification& leadership_changed);

    // Returns the token that every command and record of this term carries.
    [[nodiscard]] std::uint64_t fencing_token() const { return identity_.fencing_token; }
    // Returns the identity of the term in the store.
    [[nodiscard]] const TermIdentity& identity() const { return identity_; }
    // Sets the revision of the leader record to the one in the watch cache.
    void set_mod_revision(std::uint64_t revision) { identity_.mod_revision = revision; }
    // Returns when the lease was granted (seconds, steady clock).
    [[nodiscard]] double started_at() const { return started_at_; }

    // Returns whether the term has ended.
    [[nodiscard]] bool ended() const { return ended_; }
    // Ends the term and wakes everything that waits for its notifications. Only the first call has an effect.
    void end(EndReason reason);
    // Returns whether the leader may start tasks and do everything else that requires the lease.
    [[nodiscard]] bool may_start_tasks() const;
    // Returns whether the leader may respond to heartbeats.
    [[nodiscard]] bool may_respond_to_heartbeats() const;

    net::Notification commit_due;   // there may be something to commit
    net::Notification plan_due;     // there is a change that planning should consider
    net::Notification scaling_due;  // there may be machines to request or to release
    HeldResponses held_responses;

   private:
    TermIdentity identity_;
    const double started_at_;
    const LeaseGuard& lease_guard_;
    net::Notification& leadership_changed_;
    bool ended_ = false;
};

}  // namespace pineroad::leadership
