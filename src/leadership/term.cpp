#include "leadership/term.hpp"

#include <spdlog/spdlog.h>

#include "store/steady_time.hpp"

namespace pineroad::leadership {

std::string_view to_string(EndReason reason) {
    switch (reason) {
        case EndReason::newer_term:
            return "a newer term exists";
        case EndReason::watch_cache_lost:
            return "its watch cache was lost";
        case EndReason::state_not_loaded:
            return "its cluster state could not be read";
        case EndReason::lease_expired:
            return "its lease expired";
        case EndReason::isolated:
            return "cut off from the store alone";
        case EndReason::no_heartbeats:
            return "workers reach a peer but not this controller";
        case EndReason::commit_unreadable:
            return "the response to a commit could not be parsed";
        case EndReason::leader_record_lost:
            return "its leader record is gone";
        case EndReason::commit_rejected:
            return "the store rejected a commit as malformed";
    }
    return "unknown";
}

HeldResponses::Hold::Hold(HeldResponses& responses, const std::string& machine, net::Timer& timer)
    : responses_(responses), machine_(machine), timer_(timer) {
    auto& current = responses_.timers_[machine_];
    if (current) current->cancel();
    current = &timer_;
}

HeldResponses::Hold::~Hold() {
    const auto registered = responses_.timers_.find(machine_);
    if (registered != responses_.timers_.end() && registered->second == &timer_)
        responses_.timers_.erase(registered);
}

void HeldResponses::release(const std::string& machine) {
    if (const auto entry = timers_.find(machine); entry != timers_.end()) entry->second->cancel();
}

void HeldResponses::release_all() {
    for (auto& [machine, timer] : timers_) timer->cancel();
}

Term::Term(TermIdentity identity, double started_at, const LeaseGuard& lease_guard,
           net::Notification& leadership_changed)
    : identity_(identity),
      started_at_(started_at),
      lease_guard_(lease_guard),
      leadership_changed_(leadership_changed) {}

void Term::end(EndReason reason) {
    if (ended_) return;
    ended_ = true;
    spdlog::info("term {} ended: {}", identity_.fencing_token, to_string(reason));
    commit_due.notify();
    plan_due.notify();
    scaling_due.notify();
    held_responses.release_all();
    leadership_changed_.notify();
}

bool Term::may_start_tasks() const {
    return !ended_ && lease_guard_.may_start_tasks(store::steady_now_s());
}

bool Term::may_respond_to_heartbeats() const {
    return !ended_ && lease_guard_.may_respond_to_heartbeats(store::steady_now_s());
}

}  // namespace pineroad::leadership
