#include "wire/outcome_record.hpp"

#include <boost/json/object.hpp>
#include <cstdint>

namespace pineroad::wire::records {

namespace json = boost::json;

Json outcome_json(const model::JobOutcome& outcome) {
    json::object out{{"f", outcome.status == model::FinalStatus::done ? "done" : "cancelled"}};
    if (outcome.finished_at_ms > 0) out["at"] = outcome.finished_at_ms;
    return out;
}

std::optional<model::JobOutcome> parse_outcome(const Json& value) {
    const auto* object = value.if_object();
    const auto name = object ? read::text(*object, "f") : std::nullopt;
    if (!name) return std::nullopt;
    const auto status = *name == "done" ? model::FinalStatus::done : model::FinalStatus::cancelled;
    const auto finished_at_ms = read::unix_time_ms(*object, "at").value_or(0);
    return model::JobOutcome{status, finished_at_ms};
}

}  // namespace pineroad::wire::records
