// Average slowdown of the jobs of each category, which protects running gangs from preemption (paper,
// section 4.5).
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pineroad::model {

// Mean slowdown (expansion factor at completion) of the completed jobs of one category.
struct CategoryAverage {
    double mean = 0;
    std::uint64_t count = 0;  // number of jobs averaged
};

// Averages by category; scheduling::category() returns the name of a job's category (width and length band).
using CategoryAverages = std::map<std::string, CategoryAverage>;

}  // namespace pineroad::model
