// The machine types that the cloud offers, and what of them is durable.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

// Owns the list of machine types and the revision of its record.
class MachineTypes {
   public:
    // Takes over what an earlier term wrote, if anything.
    void load(const store::WatchCache& watch_cache);
    // The cloud's present list. Returns whether more than prices changed, so that it is to be written.
    bool set(const std::vector<model::MachineType>& types);
    // All types, in the cloud's order.
    [[nodiscard]] const std::vector<model::MachineType>& all() const { return types_; }
    // The type of this name, or nullptr.
    [[nodiscard]] const model::MachineType* find(const std::string& name) const;

    // Whether the list is to be written.
    [[nodiscard]] bool needs_write() const { return needs_write_; }
    // Revision of the record that a write replaces; 0: there is none.
    [[nodiscard]] std::uint64_t mod_revision() const { return mod_revision_; }
    // The list was written at this revision.
    void apply_commit(std::uint64_t revision);

   private:
    std::vector<model::MachineType> types_;
    std::uint64_t mod_revision_ = 0;
    bool needs_write_ = false;
};

}  // namespace pineroad::cluster
