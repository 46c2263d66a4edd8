// The leader's loops that face the cloud: which machine types and machines there are, scaling out and in.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cluster/leader_term.hpp"
#include "controller/cloud_client.hpp"
#include "model/model.hpp"
#include "net/http.hpp"

namespace pineroad::controller {

// One function for each loop.
class ProvisioningLoops {
   public:
    // The client must outlive the object.
    explicit ProvisioningLoops(CloudClient& cloud) : cloud_(cloud) {}

    // Each of these runs until the term is over.
    // Reads the machine types every machine_types_period_s.
    net::awaitable<void> poll_machine_types(std::shared_ptr<cluster::LeaderTerm> leader);
    // Reads the list of machines every list_period_s.
    net::awaitable<void> poll_machine_list(std::shared_ptr<cluster::LeaderTerm> leader);
    // Requests machines under names that are durable.
    net::awaitable<void> scale_out(std::shared_ptr<cluster::LeaderTerm> leader);
    // Releases machines that are not needed.
    net::awaitable<void> scale_in(std::shared_ptr<cluster::LeaderTerm> leader);

   private:
    // All pages of the list; nothing if one could not be read.
    net::awaitable<std::optional<std::vector<model::ListedMachine>>> list_machines(
        const leadership::Term& term);

    CloudClient& cloud_;
};

}  // namespace pineroad::controller
