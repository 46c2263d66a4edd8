// Average slowdown of the jobs of a category, which guards victims of preemption (paper, section 4.5).
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pineroad::model {

// Mean slowdown (expansion factor at the end) of the jobs of one category that completed.
struct CategoryAverage {
    double mean = 0;
    std::uint64_t count = 0;  // jobs it is the mean of
};

// Averages by category; scheduling::category() names the categories (width by length).
using CategoryAverages = std::map<std::string, CategoryAverage>;

}  // namespace pineroad::model
