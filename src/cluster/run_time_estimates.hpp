// Corrects users' run time estimates by the measured run times.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "config/constants.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Owns the smoothed ratio of measured to estimated run time of each job class.
class RunTimeEstimates {
   public:
    // Records that a task of the job succeeded after `run_s` seconds. The job's estimate must be positive.
    void record(const model::JobSpec& spec, double run_s) {
        double& bias = bias_by_class_.try_emplace(spec.job_class, 1.0).first->second;
        const double correction = run_s / spec.estimate_s - bias;
        bias = std::clamp(bias + constants::estimate_bias_weight * correction, constants::min_estimate_bias,
                          constants::max_estimate_bias);
    }
    // Returns the expected run time of a task of the job in seconds: the estimate times the ratio of its job
    // class, at least 1.
    [[nodiscard]] double expected_run_s(const model::JobSpec& spec) const {
        const auto bias = bias_by_class_.find(spec.job_class);
        return std::max(1.0, spec.estimate_s * (bias == bias_by_class_.end() ? 1.0 : bias->second));
    }

   private:
    std::map<std::string, double> bias_by_class_;
};

}  // namespace pineroad::cluster
