#include "wire/segment_record.hpp"

#include <boost/json/array.hpp>
#include <string_view>
#include <utility>

namespace pineroad::wire::records {
namespace {

namespace json = boost::json;

std::optional<Sequence> parse_sequence(const json::object& object) {
    const auto* pair = read::list(object, "n");
    if (!pair || pair->size() != 2) return std::nullopt;
    const auto fencing_token = read::unsigned_integer(pair->if_contains(0));
    const auto number = read::unsigned_integer(pair->if_contains(1));
    if (!fencing_token || !number) return std::nullopt;
    return Sequence{*fencing_token, *number};
}

}  // namespace

Json segment_json(const Sequence& sequence, json::object entries) {
    return json::object{{"n", json::array{sequence.fencing_token, sequence.number}},
                        {"jobs", std::move(entries)}};
}

std::optional<Segment> parse_segment(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto sequence = parse_sequence(*object);
    const auto* jobs = read::field(*object, "jobs");
    if (!sequence || !jobs || !jobs->is_object()) return std::nullopt;
    Segment out{*sequence, {}};
    for (const auto& [key, entry] : jobs->get_object()) {
        const auto name = parse_entry_name(std::string_view(key.data(), key.size()));
        if (!name) return std::nullopt;
        auto& progress = out.entries[*name];
        if (entry.is_null()) continue;
        progress = parse_progress(entry);
        if (!progress) return std::nullopt;
    }
    return out;
}

}  // namespace pineroad::wire::records
