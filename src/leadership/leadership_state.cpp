#include "leadership/leadership_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::leadership {

void LeadershipState::observe_token(std::uint64_t fencing_token, const std::string& leader) {
    if (fencing_token > highest_token_) {
        highest_token_ = fencing_token;
        known_leader_ = leader;
    }
    if (term_ && !term_->ended() && fencing_token > term_->fencing_token()) term_->end(EndReason::newer_term);
}

void LeadershipState::observe_reported_token(std::uint64_t fencing_token, const std::string& leader) {
    if (fencing_token > highest_token_ && fencing_token - highest_token_ > constants::max_token_lead) {
        spdlog::warn("ignored the reported token {}: no controller can have issued it", fencing_token);
        return;
    }
    observe_token(fencing_token, leader);
}

void LeadershipState::begin_term(std::shared_ptr<Term> term) {
    term_ = std::move(term);
}

std::uint64_t LeadershipState::advertised_token() const {
    if (!term_ || term_->ended()) return highest_token_;
    return std::max(term_->fencing_token(), highest_token_);
}

void LeadershipState::on_cache_lost() {
    if (term_) term_->end(EndReason::watch_cache_lost);
}

void LeadershipState::on_leader_seen(const wire::records::Leader& leader) {
    observe_token(leader.fencing_token, leader.node);
}

void LeadershipState::on_watch_applied(bool leader_removed) {
    if (leader_removed) changed_.notify();
    if (term_) term_->commit_due.notify();
}

}  // namespace pineroad::leadership
