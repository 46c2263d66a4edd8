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
                       const store::WatchCache& watch_cache,
                       const peers::RecordFormatTracker& record_format_tracker)
    : store_(store),
      linearizable_read_(linearizable_read),
      watch_cache_(watch_cache),
      record_format_tracker_(record_format_tracker) {}

// A controller that was upgraded never returns to an earlier version, so the list only grows.
net::awaitable<void> FormatLoop::run(std::shared_ptr<cluster::LeaderTerm> leader) {
    if (!record_format_tracker_.reads_current_format()) co_return;
    const auto& term = *leader->term;
    while (!term.ended() && !record_format_tracker_.all_controllers_read_format()) {
        auto readers = record_format_tracker_.readers();
        if (term.may_start_tasks() && readers != watch_cache_.record_format_readers.value)
            co_await record_readers(term, std::move(readers));
        co_await net::sleep_for(c::format_check_period_s);
    }
    if (!term.ended()) spdlog::info("every controller reads record format {}", records::record_format);
}

net::awaitable<void> FormatLoop::record_readers(const leadership::Term& term, std::set<std::string> readers) {
    wire::Transaction transaction;
    transaction.conditions = {
        {std::string(records::leader_key), term.identity().mod_revision},
        {std::string(records::format_key), watch_cache_.record_format_readers.mod_revision}};
    transaction.changes = {{std::string(records::format_key), records::format_json(readers), std::nullopt}};
    co_await store_.commit(wire::commit_request(transaction));
    co_await linearizable_read_.catch_up();
}

}  // namespace pineroad::controller
