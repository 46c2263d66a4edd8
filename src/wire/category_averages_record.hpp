// Record of the running averages of slowdown.
//
//   pr/live/means   {category: [mean, number of jobs], ...}
#pragma once

#include "model/model.hpp"
#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

// The averages' record.
Json category_averages_json(const model::CategoryAverages& averages);
// The reverse. Categories that are malformed are left out: their averages begin anew.
model::CategoryAverages parse_category_averages(const Json& value);

}  // namespace pineroad::wire::records
