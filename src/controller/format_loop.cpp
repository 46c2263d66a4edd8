#include "controller/format_loop.hpp"

#include <spdlog/spdlog.h>

#include <set>
#include <string>
#include <utility>

#include "config/constants.hpp"
#include "wire/protocol.hpp"
#include "wire/records.hpp"

namespace pineroad::controller {

namespace c = constants;
namespace records = wire::records;

FormatLoop::FormatLoop(store::StoreClient& store, store::LinearizableRead& linearizable_read,
                       const store::WatchCache& watch_cache, const peers::RecordFormat& record_format)
    : store_(store),
      linearizable_read_(linearizable_read),
      watch_cache_(watch_cache),
      record_format_(record_format) {}

// A process that was replaced never comes back as the earlier version, so the list only grows.
net::awaitable<void> FormatLoop::run(std::shared_ptr<cluster::LeaderTerm> leader) {
    if (!record_format_.reads_present_format()) co_return;
    const auto& term = *leader->term;
    while (!term.over() && !record_format_.agreed()) {
        auto readers = record_format_.readers();
        if (term.may_start() && readers != watch_cache_.format.value)
            co_await record(term, std::move(readers));
        co_await net::sleep_for(c::format_period_s);
    }
    if (!term.over()) spdlog::info("every controller reads record format {}", records::record_format);
}

net::awaitable<void> FormatLoop::record(const leadership::Term& term, std::set<std::string> readers) {
    wire::Transaction transaction;
    transaction.conditions = {{std::string(records::leader_key), term.identity().mod_revision},
                              {std::string(records::format_key), watch_cache_.format.mod_revision}};
    transaction.changes = {{std::string(records::format_key), records::format_json(readers), std::nullopt}};
    co_await store_.commit(wire::commit_request(transaction));
    co_await linearizable_read_.catch_up();
}

}  // namespace pineroad::controller
