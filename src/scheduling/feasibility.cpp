#include "scheduling/feasibility.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

#include "scheduling/eligibility.hpp"

namespace pineroad::scheduling {
namespace {

// Returns the number of tasks that must run at the same time.
std::uint32_t simultaneous_tasks(const model::JobSpec& spec) {
    return spec.shape == model::Shape::gang ? spec.task_count : 1;
}

// Returns a zone, other than `excluded`, that offers a machine type on which a task of the job can run;
// nullptr if there is none.
const std::string* find_usable_zone(const model::JobSpec& spec, const std::vector<model::MachineType>& types,
                                    const std::string* excluded = nullptr) {
    for (const auto& type : types) {
        if (!spec.task_resources.fits_in(type.capacity)) continue;
        for (const auto& zone : type.zones) {
            const bool is_excluded = excluded && zone == *excluded;
            if (!is_excluded && allowed_on(spec, type.name, zone, false)) return &zone;
        }
    }
    return nullptr;
}

bool exceeds_team_limit(const model::JobSpec& spec, const config::Team& team) {
    const auto needed = spec.task_resources * simultaneous_tasks(spec);
    return (team.cpus_max > 0 && needed.cpus > team.cpus_max + model::amount_tolerance) ||
           (team.gpus_max > 0 && needed.gpus > team.gpus_max + model::amount_tolerance);
}

bool must_use_several_zones(const model::JobSpec& spec) {
    return simultaneous_tasks(spec) > max_tasks_per_zone(spec);
}

}  // namespace

std::string_view to_string(Infeasibility reason) {
    switch (reason) {
        case Infeasibility::unknown_team:
            return "unknown team";
        case Infeasibility::no_machine_type:
            return "a task fits no allowed machine type";
        case Infeasibility::exceeds_team_limit:
            return "the job needs more than the team's limit";
        case Infeasibility::too_few_zones:
            return "the job must be spread over more zones than it may use";
    }
    return "unknown reason";
}

bool offers_machines(const std::vector<model::MachineType>& types) {
    return std::any_of(types.begin(), types.end(),
                       [](const model::MachineType& type) { return !type.zones.empty(); });
}

std::optional<Infeasibility> find_infeasibility(const model::JobSpec& spec, const config::Settings& settings,
                                                const std::vector<model::MachineType>& types) {
    const auto* team = settings.find_team(spec.team);
    if (!team) return Infeasibility::unknown_team;
    const auto* zone = find_usable_zone(spec, types);
    if (!zone) return Infeasibility::no_machine_type;
    if (exceeds_team_limit(spec, *team)) return Infeasibility::exceeds_team_limit;
    // A second zone always suffices, because each zone may hold half of the tasks, rounded up.
    if (must_use_several_zones(spec) && (spec.same_zone || !find_usable_zone(spec, types, zone)))
        return Infeasibility::too_few_zones;
    return std::nullopt;
}

}  // namespace pineroad::scheduling
