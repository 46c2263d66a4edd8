#include "peers/record_format_tracker.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/records.hpp"

namespace pineroad::peers {

RecordFormatTracker::RecordFormatTracker(const config::Settings& settings,
                                         const store::WatchCache& watch_cache, const PeerDirectory& directory,
                                         std::uint64_t own_format, double started_at)
    : settings_(settings),
      watch_cache_(watch_cache),
      directory_(directory),
      own_format_(own_format),
      started_at_(started_at) {}

bool RecordFormatTracker::reads_current_format() const {
    return own_format_ >= wire::records::record_format;
}

bool RecordFormatTracker::all_controllers_read_format() const {
    const auto& recorded_readers = watch_cache_.record_format_readers.value;
    return reads_current_format() && recorded_readers.contains(settings_.name) &&
           std::all_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const config::Peer& peer) { return recorded_readers.contains(peer.name); });
}

// The result contains the recorded readers, this controller, the peers that announced the format and, once a
// user has requested a job with dependencies, the silent peers. Users request dependencies only after every
// controller has been upgraded, so a silent peer is not an earlier version that still runs.
std::set<std::string> RecordFormatTracker::readers() const {
    auto readers = watch_cache_.record_format_readers.value;
    readers.insert(settings_.name);
    const double silent_before = store::steady_now_s() - constants::format_silence_timeout_s;
    for (std::size_t i = 0; i < directory_.size(); ++i) {
        const auto& contact = directory_.contact(i);
        const bool silent = contact.silent_since(silent_before) && started_at_ < silent_before;
        if (contact.reads_format || (dependencies_requested_ && silent))
            readers.insert(directory_.peer(i).name);
    }
    return readers;
}

}  // namespace pineroad::peers
