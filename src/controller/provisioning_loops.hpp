// Loops of the leader that call the cloud: they read the machine types and the list of machines, scale out
// and scale in.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cluster/leader_term.hpp"
#include "controller/cloud_client.hpp"
#include "model/model.hpp"
#include "net/http.hpp"

namespace pineroad::controller {

// Provisions and releases machines. Each public function is one loop, which runs until the term has ended.
class ProvisioningLoops {
   public:
    // The client must outlive the object.
    explicit ProvisioningLoops(CloudClient& cloud) : cloud_(cloud) {}

    // Reads the machine types every machine_types_period_s.
    net::awaitable<void> poll_machine_types(std::shared_ptr<cluster::LeaderTerm> leader);
    // Reads the list of machines every machine_list_period_s.
    net::awaitable<void> poll_machine_list(std::shared_ptr<cluster::LeaderTerm> leader);
    // Sends provisioning requests whose names are already durable.
    net::awaitable<void> scale_out(std::shared_ptr<cluster::LeaderTerm> leader);
    // Releases machines that are no longer needed.
    net::awaitable<void> scale_in(std::shared_ptr<cluster::LeaderTerm> leader);

   private:
    // Returns the machines on all pages of the list, or nothing if a page could not be read.
    net::awaitable<std::optional<std::vector<model::ListedMachine>>> list_machines(
        const leadership::Term& term);

    CloudClient& cloud_;
};

}  // namespace pineroad::controller
