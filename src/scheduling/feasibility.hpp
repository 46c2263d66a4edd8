// Feasibility: whether a job can ever run on what the deployment offers. Admission rejects a job that cannot;
// the planner leaves one out that was accepted earlier, under other settings or machine types.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace pineroad::scheduling {

// Why a job can never run.
enum class Infeasibility {
    unknown_team,        // its team is not configured
    no_machine_type,     // no allowed machine type has room for a task in an allowed zone
    exceeds_team_limit,  // the tasks that must run at the same time need more than the team's limit
    too_few_zones        // its gang must be spread over more zones than it may use
};

// Returns the reason as users and operators read it.
std::string_view to_string(Infeasibility reason);

// Returns whether some zone offers some machine type. Otherwise it is not known yet what can run.
bool offers_machines(const std::vector<model::MachineType>& types);

// Returns why the job can never run on any number of machines of these types, or nothing if it can. Of a gang
// all tasks must run at the same time; an array or service can run if one of its tasks can.
std::optional<Infeasibility> find_infeasibility(const model::JobSpec& spec, const config::Settings& settings,
                                                const std::vector<model::MachineType>& types);

}  // namespace pineroad::scheduling
