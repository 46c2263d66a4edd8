/// Settings, machine types and jobs that the tests share.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/model.hpp"

namespace pineroad::test {

/// Returns a controller's settings with the zones a and b and three teams: "team" (no guarantee, no quota),
/// "owed" (guaranteed 64 CPUs and 8 GPUs) and "capped" (quota of 16 CPUs and 2 GPUs).
config::Settings settings();
/// Returns the types g4 (32 CPUs, 4 GPUs) and g2 (16 CPUs, 2 GPUs), each offered in both zones.
std::vector<model::MachineType> machine_types();
/// Returns a low-priority job array whose tasks need 8 CPUs and 1 GPU each and may not run on spot machines.
model::JobSpec array_job(const std::string& id, std::uint32_t tasks);
/// Returns a normal-priority gang; each task needs a g4 machine to itself.
model::JobSpec gang_job(const std::string& id, std::uint32_t tasks);

}  // namespace pineroad::test
