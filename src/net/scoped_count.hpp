// Counts what is under way: one more while the object lives.
#pragma once

#include <cstddef>

namespace pineroad::net {

class ScopedCount {
   public:
    explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
    ~ScopedCount() { --count_; }
    ScopedCount(const ScopedCount&) = delete;
    ScopedCount& operator=(const ScopedCount&) = delete;

   private:
    std::size_t& count_;
};

}  // namespace pineroad::net
