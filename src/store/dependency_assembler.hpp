// Assembles jobs whose dependency list is spread over several records. A snapshot of the store is read page
// by page, so the records of one job may arrive in any order.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "store/versioned.hpp"

namespace pineroad::store {

// Holds a job back until all further records of its dependency list have arrived; JobSpec::dependency_records
// is their number. Both add functions return the job that the added record completed, with its whole list.
class DependencyAssembler {
   public:
    // Adds a job's main record. Returns the job at once if all further records of its list are already
    // known, or if it has none.
    std::optional<Versioned<model::JobSpec>> add_job(Versioned<model::JobSpec> job);
    // Adds a further record of the job's list. `number` is the position of the record in that list, as in its
    // key.
    std::optional<Versioned<model::JobSpec>> add_dependencies(const std::string& job_id,
                                                              const std::string& number,
                                                              std::vector<std::string> dependencies);
    // Forgets a job whose live records were deleted.
    void remove(const std::string& job_id);
    // Forgets everything before the store is read again.
    void clear();

   private:
    using DependencyRecords = std::map<std::string, std::vector<std::string>>;
    // Appends the further records to the job's list. Returns false, and leaves the list unchanged, while one
    // is missing.
    [[nodiscard]] bool append_dependency_records(model::JobSpec& spec) const;

    std::map<std::string, DependencyRecords> dependency_records_;  // by job
    std::map<std::string, Versioned<model::JobSpec>> incomplete_;  // by job
};

}  // namespace pineroad::store
