// Operators' own settings: an optional S-expression file, every value checked against its range.
#pragma once

#include <string>

namespace pineroad::config {

// The design's open values, and how capacity is weighed. docs/operations.md describes each.
struct Tuning {
    double preemption_factor = 2.0;     // waiter's xfactor over the victim's
    double preemption_period_s = 10.0;  // between rounds
    double width_ratio = 2.0;           // victim's CPUs over the waiter's
    double category_multiplier = 1.5;   // of the category's mean slowdown, above which nobody is a victim
    double category_width_cpus = 16.0;  // categories: widths below 1x, 4x, 16x this
    double category_length_s = 60.0;    // categories: estimates below 1x, 4x, 16x this
    double reservation_wait_s = 120.0;  // a waiter without victims for so long holds what frees up
    double image_locality_band =
        1.5;  // jobs whose xfactors differ by less than this: those with their image there go first
    double idle_timeout_s =
        15.0;  // an idle machine is kept this long; the dearer it is for the work that comes, the less
    double headroom =
        2.0;  // spare room for classes with a starting aim: times the arrivals a boot is too late for
    double drain_boot_times = 1.5;  // boot times within which a queue should drain before more is rented
    double price_patience =
        0.5;  // how much longer a queue may be before dear machines are rented: power of the price ratio
    double queue_patience =
        0.5;  // share of a job's slack that may pass in the queue before a machine is rented
};

Tuning load_tuning(const std::string& path);
Tuning parse_tuning(const std::string& text, const std::string& path);

}  // namespace pineroad::config
