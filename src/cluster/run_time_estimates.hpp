// How long tasks take, compared with what their owners estimate.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "config/constants.hpp"
#include "model/model.hpp"

namespace pineroad::cluster {

// Owns the ratio of measured to estimated run time, by class of jobs.
class RunTimeEstimates {
   public:
    // A task of the job ran from its start to its success for so long. The job's estimate must be positive.
    void record(const model::JobSpec& spec, double run_s) {
        double& bias = bias_by_class_.try_emplace(spec.job_class, 1.0).first->second;
        const double correction = run_s / spec.estimate_s - bias;
        bias = std::clamp(bias + constants::estimate_bias_weight * correction, constants::min_estimate_bias,
                          constants::max_estimate_bias);
    }
    // Expected run time of a task of the job: its estimate, corrected by what its class took. At least 1 s.
    [[nodiscard]] double expected_s(const model::JobSpec& spec) const {
        const auto bias = bias_by_class_.find(spec.job_class);
        return std::max(1.0, spec.estimate_s * (bias == bias_by_class_.end() ? 1.0 : bias->second));
    }

   private:
    std::map<std::string, double> bias_by_class_;
};

}  // namespace pineroad::cluster
