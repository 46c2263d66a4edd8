// Applies what the cloud reports about machines: provisioned, listed, released.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "cluster/machine_table.hpp"
#include "cluster/task_lifecycle.hpp"
#include "cluster/term_context.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Applies the cloud's responses to the machine table.
class MachineLifecycle {
   public:
    // All arguments must outlive this object.
    MachineLifecycle(const TermContext& context, MachineTable& machines, TaskLifecycle& task_lifecycle)
        : context_(context), machines_(machines), task_lifecycle_(task_lifecycle) {}

    // Adds the machines that the cloud provisioned for the request.
    void add_provisioned(const model::ProvisioningRequest& request, const std::vector<std::string>& ids);
    // Applies the cloud's list of machines, which lags behind the actual state.
    void apply_list(const std::vector<model::ListedMachine>& list);
    // Returns the machines to release next, at most as many as one request may name.
    [[nodiscard]] std::vector<std::string> machines_to_release() const;
    // Removes machines whose release the cloud confirmed: nothing runs on them any more.
    void remove_released(const std::vector<std::string>& ids);

   private:
    // Applies one machine of the list.
    void apply_listed_machine(const model::ListedMachine& listed);
    // Marks machines that should be in the list but are not.
    void mark_unlisted(const std::set<std::string>& listed);

    const TermContext& context_;
    MachineTable& machines_;
    TaskLifecycle& task_lifecycle_;
};

}  // namespace pineroad::cluster
