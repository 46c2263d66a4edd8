// The order of the pending queue and the measures by which jobs are compared: expansion factor, width and
// category. From "Selective preemption strategies for parallel job scheduling", sections 4 to 4.5.
#pragma once

#include <string>
#include <vector>

#include "scheduling/snapshot.hpp"

namespace pineroad::scheduling {

// Returns the expansion factor (paper, section 4): (wait + estimated run time) / estimated run time. At least
// 1: a negative wait counts as 0, and an estimate below one second as one second.
double xfactor(double waited_s, double estimate_s);

// Returns the jobs with pending tasks in descending order of xfactor; jobs with equal xfactors keep their
// order. The pointers refer to elements of `jobs`.
std::vector<PendingJob*> pending_queue(std::vector<PendingJob>& jobs);

// Returns the CPUs of the unit that is started and stopped together: a whole gang, or one task of an array or
// service.
double width(const model::JobSpec& spec);

// Returns the category of a job (paper, section 4.5), whose average slowdown limits preemption: width and
// estimated run time, in four bands each, as "w<band>l<band>". Stored records use this name.
std::string category(const model::JobSpec& spec, const config::Tuning& tuning);

}  // namespace pineroad::scheduling
