#include "cluster/machine_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;

void MachineLifecycle::add_provisioned(const model::ProvisioningRequest& request,
                                       const std::vector<std::string>& ids) {
    for (const auto& id : ids) {
        if (machines_.released().contains(id)) continue;
        Machine& machine = machines_.find_or_add(id);
        if (!machine.type.empty()) continue;
        machine.type = request.type, machine.zone = request.zone, machine.spot = request.spot;
    }
}

std::vector<std::string> MachineLifecycle::machines_to_release() const {
    std::vector<std::string> ids;
    for (const auto& [id, machine] : std::as_const(machines_).all())
        if (machine.releasing && ids.size() < static_cast<std::size_t>(c::max_machines_per_release))
            ids.push_back(id);
    return ids;
}

void MachineLifecycle::remove_released(const std::vector<std::string>& ids) {
    for (const auto& id : ids) {
        machines_.released().add(id, context_.now_s);
        const Machine* machine = machines_.find(id);
        if (!machine) continue;
        for (const auto& task : std::vector(machine->tasks))
            task_lifecycle_.mark_lost(*task.job, task.index, LossReason::machine_released);
        machines_.remove(id);
    }
}

void MachineLifecycle::apply_list(const std::vector<model::ListedMachine>& list) {
    std::set<std::string> listed_ids;
    for (const auto& listed : list) {
        listed_ids.insert(listed.id);
        if (!machines_.released().contains(listed.id)) apply_listed_machine(listed);
    }
    mark_unlisted(listed_ids);
}

void MachineLifecycle::apply_listed_machine(const model::ListedMachine& listed) {
    const bool is_new = !machines_.find(listed.id);
    Machine& machine = machines_.find_or_add(listed.id);
    if (is_new) spdlog::info("machine {} found in the list (term {})", listed.id, context_.fencing_token);
    if (!machine.has_reported())
        machine.type = listed.type, machine.zone = listed.zone, machine.spot = listed.spot;
    if (machine.address.empty()) machine.address = listed.address;
    machine.provisioned_at_s = std::min(machine.provisioned_at_s, context_.now_s - listed.age_s);
    machine.listed_status = listed.status;
    machine.unlisted_since_s.reset();
}

void MachineLifecycle::mark_unlisted(const std::set<std::string>& listed) {
    // A machine that ran tasks in an earlier term is by now older than the list's lag, so it no longer exists
    // if it is not listed.
    const bool list_is_current =
        context_.now_s - context_.started_at_s > 2 * context_.settings.list_lag_s + c::machine_list_period_s;
    for (auto& [id, machine] : machines_.all()) {
        const bool has_inherited_tasks = !machine.has_reported() && !machine.tasks.empty();
        const bool should_be_listed = machine.listed_status || (list_is_current && has_inherited_tasks);
        if (should_be_listed && !listed.contains(id) && !machine.unlisted_since_s)
            machine.unlisted_since_s = context_.now_s;
    }
}

}  // namespace pineroad::cluster
