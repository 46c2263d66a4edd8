// Amounts of resources that machines provide and tasks use.
#pragma once

namespace pineroad::model {

// Amounts are floating-point numbers whose sums are inexact: two that differ by less than this count as
// equal.
inline constexpr double amount_tolerance = 1e-6;

// CPUs, GPUs and gigabytes of memory: the capacity of a machine or the use of one task. May be fractional.
struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;

    // Returns whether these resources can be taken from `available`.
    [[nodiscard]] bool fits_in(const Resources& available) const {
        return cpus <= available.cpus + amount_tolerance && gpus <= available.gpus + amount_tolerance &&
               memory_gb <= available.memory_gb + amount_tolerance;
    }

    Resources& operator+=(const Resources& other) {
        cpus += other.cpus;
        gpus += other.gpus;
        memory_gb += other.memory_gb;
        return *this;
    }

    Resources& operator-=(const Resources& other) {
        cpus -= other.cpus;
        gpus -= other.gpus;
        memory_gb -= other.memory_gb;
        return *this;
    }

    friend Resources operator*(const Resources& resources, double factor) {
        return {resources.cpus * factor, resources.gpus * factor, resources.memory_gb * factor};
    }
};

}  // namespace pineroad::model
