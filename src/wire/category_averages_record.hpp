// Record of the average slowdown of each job category.
//
//   pr/live/means   {category: [mean, number of jobs], ...}
#pragma once

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// Returns the record of the averages.
Json category_averages_json(const model::CategoryAverages& averages);
// Parses the record. Malformed categories are skipped: their averages start over.
model::CategoryAverages parse_category_averages(const Json& value);

}  // namespace pineroad::wire::records
