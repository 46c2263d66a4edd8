// The machines of a term.
#pragma once

#include <map>
#include <string>

#include "cluster/machine.hpp"
#include "cluster/machine_types.hpp"
#include "cluster/released_machines.hpp"
#include "cluster/term_context.hpp"

namespace pineroad::cluster {

// Owns the machines, their types and the names of those that were released.
class MachineTable {
   public:
    // The context must outlive the table.
    explicit MachineTable(const TermContext& context) : context_(context) {}

    // All machines, by name.
    [[nodiscard]] const std::map<std::string, Machine>& all() const { return machines_; }
    // All machines, by name.
    [[nodiscard]] std::map<std::string, Machine>& all() { return machines_; }
    // The machine, or nullptr.
    [[nodiscard]] Machine* find(const std::string& id);
    // The machine, or nullptr.
    [[nodiscard]] const Machine* find(const std::string& id) const;
    // The machine, added as idle and just provisioned if it was not known.
    Machine& find_or_add(const std::string& id);
    // The release of the machine was answered: it is proven that nothing runs there. Its placements must have
    // been removed.
    void remove(const std::string& id) { machines_.erase(id); }

    // Whether tasks may be started on the machine: it is in contact under this term's token, and nothing
    // speaks against it.
    [[nodiscard]] bool is_schedulable(const Machine& machine, double now) const;
    // A task of the job is placed on the machine: its cache will hold the job's image.
    void record_cached_image(Machine& machine, const model::JobSpec& spec);
    // Tasks of the job do not count against any machine any more.
    void clear_failures_of(const std::string& job);

    // The machine types.
    [[nodiscard]] MachineTypes& types() { return types_; }
    // The machine types.
    [[nodiscard]] const MachineTypes& types() const { return types_; }
    // The names of released machines.
    [[nodiscard]] ReleasedMachines& released() { return released_; }
    // The names of released machines.
    [[nodiscard]] const ReleasedMachines& released() const { return released_; }

   private:
    const TermContext& context_;
    std::map<std::string, Machine> machines_;
    MachineTypes types_;
    ReleasedMachines released_;
};

}  // namespace pineroad::cluster
