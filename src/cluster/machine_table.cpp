#include "cluster/machine_table.hpp"

#include "config/constants.hpp"

namespace pineroad::cluster {

namespace c = constants;

Machine* MachineTable::find(const std::string& id) {
    const auto machine = machines_.find(id);
    return machine == machines_.end() ? nullptr : &machine->second;
}

const Machine* MachineTable::find(const std::string& id) const {
    const auto machine = machines_.find(id);
    return machine == machines_.end() ? nullptr : &machine->second;
}

Machine& MachineTable::find_or_add(const std::string& id) {
    auto [it, added] = machines_.try_emplace(id);
    Machine& machine = it->second;
    if (added) {
        machine.id = id;
        machine.provisioned_at_s = context_.now_s;
        machine.idle_since_s = context_.now_s;
        machine.last_heartbeat_s = context_.now_s;
    }
    return machine;
}

bool MachineTable::is_schedulable(const Machine& machine, double now) const {
    const double contact_timeout_s = c::schedulable_heartbeat_periods * context_.settings.heartbeat_period_s;
    return machine.token_confirmed() && !machine.releasing && !machine.quarantined &&
           !machine.interruption_notice && !machine.is_listed_as(model::MachineStatus::failed) &&
           machine.unknown_tasks.empty() && now - machine.last_heartbeat_s < contact_timeout_s &&
           !machine.unacknowledged.is_partitioned();
}

// Estimates what the machine's cache still holds: the latest images that fit into it.
void MachineTable::record_cached_image(Machine& machine, const model::JobSpec& spec) {
    std::erase_if(machine.images, [&](const CachedImage& image) { return image.name == spec.image; });
    machine.images.push_back({spec.image, spec.image_gb});
    const auto* type = types_.find(machine.type);
    double size_gb = 0;
    for (const auto& image : machine.images) size_gb += image.size_gb;
    while (machine.images.size() > 1 &&
           ((type && size_gb > type->cache_gb) || machine.images.size() > c::max_cached_images)) {
        size_gb -= machine.images.front().size_gb;
        machine.images.pop_front();
    }
}

void MachineTable::remove_from_failed_jobs(const std::string& job) {
    for (auto& [id, machine] : machines_) machine.failed_jobs.erase(job);
}

}  // namespace pineroad::cluster
