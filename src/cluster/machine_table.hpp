// Table of the machines known in a term.
#pragma once

#include <map>
#include <string>

#include "cluster/machine.hpp"
#include "cluster/machine_types.hpp"
#include "cluster/released_machines.hpp"
#include "cluster/term_context.hpp"

namespace pineroad::cluster {

// Owns the machines, the machine types and the names of released machines.
class MachineTable {
   public:
    // The context must outlive the table.
    explicit MachineTable(const TermContext& context) : context_(context) {}

    // Returns all machines, by name.
    [[nodiscard]] const std::map<std::string, Machine>& all() const { return machines_; }
    // Returns all machines, by name.
    [[nodiscard]] std::map<std::string, Machine>& all() { return machines_; }
    // Returns the machine, or nullptr if it is not known.
    [[nodiscard]] Machine* find(const std::string& id);
    // Returns the machine, or nullptr if it is not known.
    [[nodiscard]] const Machine* find(const std::string& id) const;
    // Returns the machine; adds it as idle and just provisioned if it was not known.
    Machine& find_or_add(const std::string& id);
    // Removes a machine whose release the cloud confirmed, which proves that nothing runs on it. Its
    // placements must have been removed before.
    void remove(const std::string& id) { machines_.erase(id); }

    // Returns whether tasks may be started on the machine: it is in contact under this term's token, and
    // nothing (such as a quarantine or an interruption notice) rules it out.
    [[nodiscard]] bool is_schedulable(const Machine& machine, double now) const;
    // Records that the machine's cache will hold the job's image, after a task of the job was placed there.
    void record_cached_image(Machine& machine, const model::JobSpec& spec);
    // Removes the job from the `failed_jobs` of every machine.
    void remove_from_failed_jobs(const std::string& job);

    // Returns the machine types.
    [[nodiscard]] MachineTypes& types() { return types_; }
    // Returns the machine types.
    [[nodiscard]] const MachineTypes& types() const { return types_; }
    // Returns the names of released machines.
    [[nodiscard]] ReleasedMachines& released() { return released_; }
    // Returns the names of released machines.
    [[nodiscard]] const ReleasedMachines& released() const { return released_; }

   private:
    const TermContext& context_;
    std::map<std::string, Machine> machines_;
    MachineTypes types_;
    ReleasedMachines released_;
};

}  // namespace pineroad::cluster
