// Puts together jobs whose list of dependencies is spread over several records. A snapshot of the store is
// read page by page, so the records of one job may arrive in any order.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "model/model.hpp"
#include "store/versioned.hpp"

namespace pineroad::store {

// Holds jobs back until every further record of their dependency list (JobSpec::dependency_records of them)
// is there. Both ways of adding return the job that the added record completed, with its whole list.
class DependencyAssembler {
   public:
    // A job's own record. Returns it once its list is complete, at once if it has no further records.
    std::optional<Versioned<model::JobSpec>> add_job(Versioned<model::JobSpec> job);
    // A further record of the job's list: `number` is its place in that list, as in its key.
    std::optional<Versioned<model::JobSpec>> add_dependencies(const std::string& job_id,
                                                              const std::string& number,
                                                              std::vector<std::string> dependencies);
    // The job's live records were deleted.
    void remove(const std::string& job_id);
    // Forgets everything: the store is about to be read anew.
    void clear();

   private:
    using DependencyRecords = std::map<std::string, std::vector<std::string>>;
    // Appends the further records to the job's list. False, and the list as it was, while one is missing.
    [[nodiscard]] bool append_dependency_records(model::JobSpec& spec) const;

    std::map<std::string, DependencyRecords> dependency_records_;  // by job
    std::map<std::string, Versioned<model::JobSpec>> incomplete_;  // by job
};

}  // namespace pineroad::store
