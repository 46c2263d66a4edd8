#include "cluster/machine_types.hpp"

#include <algorithm>

namespace pineroad::cluster {

namespace {
// Returns whether the types have the same name, capacity and zones. Prices are not compared, because they
// change often and a change of prices alone is not written; nor are cache size, fetch rate and boot time.
bool same_capacity_and_zones(const model::MachineType& first, const model::MachineType& second) {
    return first.name == second.name && first.capacity.cpus == second.capacity.cpus &&
           first.capacity.gpus == second.capacity.gpus &&
           first.capacity.memory_gb == second.capacity.memory_gb && first.zones == second.zones;
}
}  // namespace

void MachineTypes::load(const store::WatchCache& watch_cache) {
    if (!watch_cache.machine_types) return;
    types_ = watch_cache.machine_types->value;
    mod_revision_ = watch_cache.machine_types->mod_revision;
}

bool MachineTypes::set(const std::vector<model::MachineType>& types) {
    const bool was_written = mod_revision_ != 0;
    const bool unchanged = was_written && std::equal(types.begin(), types.end(), types_.begin(), types_.end(),
                                                     same_capacity_and_zones);
    types_ = types;
    if (!unchanged) needs_write_ = true;
    return !unchanged;
}

const model::MachineType* MachineTypes::find(const std::string& name) const {
    const auto type = std::find_if(types_.begin(), types_.end(),
                                   [&](const model::MachineType& each) { return each.name == name; });
    return type == types_.end() ? nullptr : &*type;
}

void MachineTypes::apply_commit(std::uint64_t revision) {
    needs_write_ = false;
    mod_revision_ = revision;
}

}  // namespace pineroad::cluster
