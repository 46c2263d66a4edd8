// Counts operations under way.
#pragma once

#include <cstddef>

namespace pineroad::net {

// Adds one to a count while it lives. The count must outlive it.
class ScopedCount {
   public:
    // Counts in that variable.
    explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
    ~ScopedCount() { --count_; }
    // A copy would take off more than it added.
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;
    ScopedCount(ScopedCount&&) = delete;
    ScopedCount& operator=(ScopedCount&&) = delete;

   private:
    std::size_t& count_;
};

}  // namespace pineroad::net
