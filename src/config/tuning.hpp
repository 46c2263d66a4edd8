// The operators' own settings: an optional file of S-expressions, every value checked against its range. The
// names of its keys appear in tuning.cpp only; docs/operations.md lists them with defaults and ranges.
#pragma once

#include <string>

namespace pineroad::config {

// The values that the design leaves open, and how autoscaling weighs price against waiting. Each field names
// the key that it stands for.
struct Tuning {
    // suspension-factor: a pending job may preempt a gang when its xfactor is at least this many times the
    // gang's.
    double preemption_factor = 2.0;
    // suspension-period: seconds between rounds of preemption.
    double preemption_period_s = 10.0;
    // width-ratio: a victim has at most so many times the pending job's CPUs.
    double max_victim_width_ratio = 2.0;
    // category-multiplier: a gang whose xfactor is above so many times its category's average slowdown is no
    // victim.
    double category_multiplier = 1.5;
    // category-width: categories by width end at 1, 4 and 16 times so many CPUs.
    double category_width_cpus = 16.0;
    // category-length: categories by length end at 1, 4 and 16 times an estimate of so many seconds.
    double category_length_s = 60.0;
    // holding-wait: a gang that has waited so many seconds and finds no victims reserves what becomes free.
    double reservation_wait_s = 120.0;
    // image-band: of jobs whose xfactors differ by less than this factor, those whose image a machine has in
    // its cache are placed there first. With 1 the order is that of the xfactors alone.
    double image_locality_band = 1.5;
    // idle-hold: an idle machine is kept for so many seconds, divided by how much dearer it is than the
    // cheapest for the work that is expected.
    double idle_timeout_s = 15.0;
    // headroom: machines kept spare for classes with an objective for starting, as a multiple of the arrivals
    // for which a machine that still has to boot would come too late.
    double headroom_factor = 2.0;
    // drain: a queue of short tasks should empty within so many boot times before more machines are
    // provisioned.
    double drain_boot_times = 1.5;
    // price-patience: how much longer a queue may be before dearer machines are provisioned, as the power to
    // which the price ratio is raised.
    double price_ratio_exponent = 0.5;
    // queue-patience: share of a job's slack that may pass in the queue before a machine is provisioned for
    // it.
    double queue_slack_share = 0.5;
};

// Reads a tuning file. Throws SettingsError if it cannot be read, or as parse_tuning does.
Tuning load_tuning(const std::string& path);
// Reads `(pineroad (KEY VALUE) ...)`; `path` names the text in errors. Keys that are missing keep their
// default. Throws SettingsError for another form, an unknown or repeated key, and a value that is no number
// or out of range.
Tuning parse_tuning(const std::string& text, const std::string& path);

}  // namespace pineroad::config
