// Settings for operators: an optional file of S-expressions, with a range check for every value. The names of
// the keys are used in tuning.cpp only; docs/operations.md lists them with their defaults and ranges.
#pragma once

#include <string>

namespace pineroad::config {

// Parameters that the design leaves open, and the weights of price against waiting time in autoscaling. The
// comment of each field begins with its key.
struct Tuning {
    // suspension-factor: a pending job may preempt a gang if its xfactor is at least this many times that of
    // the gang.
    double preemption_factor = 2.0;
    // suspension-period: seconds between rounds of preemption.
    double preemption_period_s = 10.0;
    // width-ratio: a victim has at most this many times the CPUs of the preemptor.
    double max_victim_width_ratio = 2.0;
    // category-multiplier: a gang is not preempted if its xfactor exceeds the average slowdown of its
    // category by more than this factor.
    double category_multiplier = 1.5;
    // category-width: the width bands of the categories end at 1, 4 and 16 times this number of CPUs.
    double category_width_cpus = 16.0;
    // category-length: the length bands of the categories end at 1, 4 and 16 times this estimated run time.
    double category_length_s = 60.0;
    // holding-wait: a gang that has waited this many seconds and finds no victims reserves machines that
    // become free.
    double reservation_wait_s = 120.0;
    // image-band: among jobs whose xfactors differ by less than this factor, those whose image is cached on a
    // machine are placed there first. With 1, jobs are ordered by xfactor only.
    double image_locality_band = 1.5;
    // idle-hold: an idle machine is kept for this many seconds, divided by the ratio of its price to that of
    // the cheapest machine for the expected work.
    double idle_timeout_s = 15.0;
    // headroom: spare machines for classes with an objective for the start time, as a multiple of the
    // arrivals for which a machine that still has to boot would come too late.
    double headroom_factor = 2.0;
    // drain: no machines are provisioned for a queue of short tasks that drains within this many boot times.
    double drain_boot_times = 1.5;
    // price-patience: exponent of the price ratio, which determines how much longer a queue must be before
    // more expensive machines are provisioned.
    double price_ratio_exponent = 0.5;
    // queue-patience: share of a job's slack that may pass in the queue before a machine is provisioned for
    // it.
    double queue_slack_share = 0.5;
};

// Loads a tuning file. Throws SettingsError if the file cannot be read or parse_tuning() fails.
Tuning load_tuning(const std::string& path);
// Parses `(pineroad (KEY VALUE) ...)`; `path` is the file name used in errors. Missing keys keep their
// defaults. Throws SettingsError if the format is different, a key is unknown or repeated, or a value is not
// a number or out of range.
Tuning parse_tuning(const std::string& text, const std::string& path);

}  // namespace pineroad::config
