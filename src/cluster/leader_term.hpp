// The state that a leader keeps for one term. The term's loops share it and stop when the term ends.
#pragma once

#include <memory>
#include <utility>

#include "cluster/cluster_state.hpp"
#include "config/settings.hpp"
#include "config/tuning.hpp"
#include "leadership/term.hpp"
#include "store/steady_time.hpp"
#include "store/write_rate_limiter.hpp"

namespace pineroad::cluster {

// A term with its cluster state and write rate limiter.
struct LeaderTerm {
    // Creates an empty cluster state for the term. The settings and tuning must outlive it.
    LeaderTerm(std::shared_ptr<leadership::Term> won_term, const config::Settings& settings,
               const config::Tuning& tuning)
        : term(std::move(won_term)),
          cluster_state(settings, tuning, term->fencing_token(), term->identity().mod_revision,
                        store::steady_now_s()) {}

    const std::shared_ptr<leadership::Term> term;
    ClusterState cluster_state;
    store::WriteRateLimiter write_limiter;
};

}  // namespace pineroad::cluster
