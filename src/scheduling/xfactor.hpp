// The order in which jobs are served, and the measures by which jobs are compared: expansion factor, width
// and category. From "Selective preemption strategies for parallel job scheduling", sections 4 to 4.5.
#pragma once

#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// The expansion factor (paper, section 4): wait plus estimated run time, over estimated run time. At least 1;
// a negative wait counts as none and an estimate below a second as a second.
double xfactor(double waited_s, double estimate_s);

// The jobs that have tasks to place, in falling xfactor, and in the order of `jobs` where it is equal. The
// answer points into `jobs`.
std::vector<PendingJob*> pending_queue(std::vector<PendingJob>& jobs);

// CPUs of a whole gang, or of a single task of an array or service: what is started and stopped at once.
double width(const model::JobSpec& spec);

// The category of jobs whose average slowdown guards a victim (paper, section 4.5): the job's width and its
// estimated length in four bands each, as "w<band>l<band>". Stored records use this name.
std::string category(const model::JobSpec& spec, const config::Tuning& tuning);

}  // namespace pineroad::scheduling
