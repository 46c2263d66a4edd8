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

// Holds a job back until all of its dependency records have arrived; JobSpec::dependency_records is their
// number. Both add functions return the job that the added record completed, with its whole dependency list.
class DependencyAssembler {
   public:
    // Adds a job's own record. Returns the job at once if all of its dependency records were added before, or
    // if it has none.
    std::optional<Versioned<model::JobSpec>> add_job(Versioned<model::JobSpec> job);
    // Adds a dependency record of the job. `number` is the number of the record, as in its key.
    std::optional<Versioned<model::JobSpec>> add_dependencies(const std::string& job_id,
                                                              const std::string& number,
                                                              std::vector<std::string> dependencies);
    // Forgets a job whose live records were deleted.
    void remove(const std::string& job_id);
    // Forgets everything before the store is read again.
    void clear();

   private:
    using DependencyRecords = std::map<std::string, std::vector<std::string>>;
    // Appends the contents of the dependency records to the job's list. Returns false, and leaves the list
    // unchanged, while a record is missing.
    [[nodiscard]] bool append_dependency_records(model::JobSpec& spec) const;

    std::map<std::string, DependencyRecords> dependency_records_;  // by job
    std::map<std::string, Versioned<model::JobSpec>> incomplete_;  // by job
};

}  // namespace pineroad::store
