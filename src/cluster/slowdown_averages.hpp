// The running averages of slowdown per job category, and the revision of their stored record.
#pragma once

#include <cstdint>
#include <string>

#include "config/constants.hpp"
#include "model/model.hpp"
#include "store/watch_cache.hpp"

namespace pineroad::cluster {

// Owns the averages and the revision of their record.
class SlowdownAverages {
   public:
    // Loads the averages that an earlier term wrote.
    void load(const store::WatchCache& watch_cache) {
        averages_ = watch_cache.category_averages.value;
        mod_revision_ = watch_cache.category_averages.mod_revision;
    }
    // Adds the slowdown of a completed job of the category.
    void add(const std::string& category, double slowdown) {
        auto& average = averages_[category];
        average.mean += (slowdown - average.mean) / static_cast<double>(++average.count);
        changed_ = true;
    }
    // Returns the averages by category.
    [[nodiscard]] const model::CategoryAverages& values() const { return averages_; }

    // Returns whether the averages must be written: they changed and the write period has passed.
    [[nodiscard]] bool is_write_due(double now) const {
        return changed_ && now - written_at_s_ > constants::category_averages_period_s;
    }
    // Returns the mod revision of the stored record, which the next write replaces; 0 if there is none.
    [[nodiscard]] std::uint64_t mod_revision() const { return mod_revision_; }
    // Records that the averages were written at this revision.
    void apply_commit(std::uint64_t revision, double now) {
        changed_ = false;
        mod_revision_ = revision;
        written_at_s_ = now;
    }

   private:
    model::CategoryAverages averages_;
    std::uint64_t mod_revision_ = 0;
    double written_at_s_ = 0;
    bool changed_ = false;
};

}  // namespace pineroad::cluster
