/// Settings, machine types and jobs that the tests share.
#pragma once

#include <string>
#include <vector>

#include "config/settings.hpp"
#include "model/model.hpp"

namespace pineroad::test {

/// A controller's settings: two zones a and b; the teams "team" (no quota), "owed" (guaranteed) and "capped".
config::Settings settings();
/// g4: 32 CPUs, 4 GPUs; g2: 16 CPUs, 2 GPUs. Both in both zones.
std::vector<model::MachineType> machine_types();
/// A job array of low priority: each task needs 8 CPUs and 1 GPU and may not run on spot machines.
model::JobSpec array_job(const std::string& id, std::uint32_t tasks);
/// A gang of normal priority: each task fills a g4 machine.
model::JobSpec gang_job(const std::string& id, std::uint32_t tasks);

}  // namespace pineroad::test
