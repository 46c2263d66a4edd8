// Counts operations in flight.
#pragma once

#include <cstddef>

namespace pineroad::net {

// Increments a counter when it is created and decrements it when it is destroyed. The counter must outlive
// it.
class ScopedCount {
   public:
    // Counts one operation in `count`.
    explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
    ~ScopedCount() { --count_; }
    // Not copyable: a copy would decrement the counter without having incremented it.
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;
    ScopedCount(ScopedCount&&) = delete;
    ScopedCount& operator=(ScopedCount&&) = delete;

   private:
    std::size_t& count_;
};

}  // namespace pineroad::net
