// What the cloud says of machines: provisioned, listed, released.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "cluster/task_lifecycle.hpp"
#include "cluster/term_context.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Applies the cloud's answers to the machine table.
class MachineLifecycle {
   public:
    // All arguments must outlive this object.
    MachineLifecycle(const TermContext& context, MachineTable& machines, TaskLifecycle& tasks)
        : context_(context), machines_(machines), tasks_(tasks) {}

    // The cloud provisioned the machines for the request.
    void add_provisioned(const model::ProvisioningRequest& request, const std::vector<std::string>& ids);
    // The cloud's list of machines. It lags.
    void apply_list(const std::vector<model::ListedMachine>& list);
    // Machines to be released next, as many as one request may name.
    [[nodiscard]] std::vector<std::string> machines_to_release() const;
    // The release of the machines was answered: nothing runs there any more.
    void remove_released(const std::vector<std::string>& ids);

   private:
    // One machine of the list.
    void apply_listed_machine(const model::ListedMachine& listed);
    // Machines that should be listed and are not.
    void mark_unlisted(const std::set<std::string>& listed);

    const TermContext& context_;
    MachineTable& machines_;
    TaskLifecycle& tasks_;
};

}  // namespace pineroad::cluster
