#include "cluster/infeasible_jobs.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "scheduling/feasibility.hpp"

namespace pineroad::cluster {
namespace {

void add_zone(std::vector<model::MachineType>& types, const Machine& machine) {
    for (auto& type : types)
        if (type.name == machine.type &&
            std::find(type.zones.begin(), type.zones.end(), machine.zone) == type.zones.end())
            type.zones.push_back(machine.zone);
}

// Returns the machine types with every zone that offers them or still has a machine of them.
std::vector<model::MachineType> available_types(const MachineTable& machines) {
    auto types = machines.types().all();
    for (const auto& [id, machine] : machines.all())
        if (!machine.zone.empty() && !machine.releasing) add_zone(types, machine);
    return types;
}

// Returns a job of the class that can run on these types, or nullptr if there is none.
const model::JobSpec* find_feasible_job(const std::string& job_class, const JobTable& jobs,
                                        const config::Settings& settings,
                                        const std::vector<model::MachineType>& types) {
    for (const auto& [id, job] : jobs.all())
        if (job.spec && job.spec->job_class == job_class &&
            !scheduling::find_infeasibility(*job.spec, settings, types))
            return &*job.spec;
    return nullptr;
}

void remove_from_queue(scheduling::Snapshot& snapshot, const std::vector<model::MachineType>& types) {
    std::erase_if(snapshot.jobs, [&](const scheduling::PendingJob& pending) {
        const auto reason = scheduling::find_infeasibility(*pending.spec, *snapshot.settings, types);
        if (reason) snapshot.infeasible_jobs.push_back({pending.spec->id, *reason});
        return reason.has_value();
    });
}

void remove_from_demand(scheduling::Snapshot& snapshot, const JobTable& jobs,
                        const std::vector<model::MachineType>& types) {
    for (auto entry = snapshot.demand.begin(); entry != snapshot.demand.end();) {
        auto& [job_class, demand] = *entry;
        if (!scheduling::find_infeasibility(demand.sample_job, *snapshot.settings, types)) {
            ++entry;
        } else if (const auto* sample = find_feasible_job(job_class, jobs, *snapshot.settings, types)) {
            demand.sample_job = *sample;
            ++entry;
        } else {
            entry = snapshot.demand.erase(entry);
        }
    }
}

}  // namespace

void remove_infeasible_jobs(scheduling::Snapshot& snapshot, const JobTable& jobs,
                            const MachineTable& machines) {
    const auto types = available_types(machines);
    if (!scheduling::offers_machines(types)) return;
    remove_from_queue(snapshot, types);
    remove_from_demand(snapshot, jobs, types);
}

}  // namespace pineroad::cluster
