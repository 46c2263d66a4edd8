// Amounts of what machines have and tasks take.
#pragma once

namespace pineroad::model {

// Sums of amounts, which are decimal numbers, are not exact: two that differ by less count as equal.
inline constexpr double amount_tolerance = 1e-6;

// CPUs, GPUs and gigabytes of memory: a machine's capacity, or what one task takes of it. Decimal numbers.
struct Resources {
    double cpus = 0, gpus = 0, memory_gb = 0;

    // Whether this much can be taken from `available`.
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
