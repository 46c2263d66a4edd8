#include "peers/record_format.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "store/steady_time.hpp"
#include "wire/records.hpp"

namespace pineroad::peers {

RecordFormat::RecordFormat(const config::Settings& settings, const store::WatchCache& watch_cache,
                           const PeerDirectory& directory, std::uint64_t own_format, double started_at)
    : settings_(settings),
      watch_cache_(watch_cache),
      directory_(directory),
      own_format_(own_format),
      started_at_(started_at) {}

bool RecordFormat::reads_present_format() const {
    return own_format_ >= wire::records::record_format;
}

bool RecordFormat::agreed() const {
    const auto& recorded = watch_cache_.format.value;
    return reads_present_format() && recorded.contains(settings_.name) &&
           std::all_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const config::Peer& peer) { return recorded.contains(peer.name); });
}

// Beyond those recorded: this controller, peers that said so, and, once a user has asked for a job with
// dependencies, peers that are silent. Users ask only after every controller was replaced, so a silent one is
// not an earlier version that goes on.
std::set<std::string> RecordFormat::readers() const {
    auto readers = watch_cache_.format.value;
    readers.insert(settings_.name);
    const double before = store::steady_now_s() - constants::format_silence_s;
    for (std::size_t i = 0; i < directory_.size(); ++i) {
        const auto& contact = directory_.contact(i);
        const bool silent = contact.silent_since(before) && started_at_ < before;
        if (contact.reads_format || (dependencies_requested_ && silent))
            readers.insert(directory_.peer(i).name);
    }
    return readers;
}

}  // namespace pineroad::peers
