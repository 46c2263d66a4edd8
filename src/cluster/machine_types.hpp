// The machine types that the cloud offers, and the state of their record in the store.
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
    // Loads the record that an earlier term wrote, if any.
    void load(const store::WatchCache& watch_cache);
    // Replaces the list by the cloud's current one. Returns whether it must be written: no record exists, or
    // types were added, removed, reordered, or changed in capacity or zones.
    bool set(const std::vector<model::MachineType>& types);
    // Returns all types in the cloud's order.
    [[nodiscard]] const std::vector<model::MachineType>& all() const { return types_; }
    // Returns the type of this name, or nullptr.
    [[nodiscard]] const model::MachineType* find(const std::string& name) const;

    // Returns whether the list must be written.
    [[nodiscard]] bool needs_write() const { return needs_write_; }
    // Returns the revision of the record that a write replaces; 0: there is none.
    [[nodiscard]] std::uint64_t mod_revision() const { return mod_revision_; }
    // Records that the list was written at this revision.
    void apply_commit(std::uint64_t revision);

   private:
    std::vector<model::MachineType> types_;
    std::uint64_t mod_revision_ = 0;
    bool needs_write_ = false;
};

}  // namespace pineroad::cluster
