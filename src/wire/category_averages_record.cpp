#include "wire/category_averages_record.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>

#include "config/constants.hpp"

namespace pineroad::wire::records {

namespace json = boost::json;

Json category_averages_json(const model::CategoryAverages& averages) {
    json::object out;
    for (const auto& [category, average] : averages) out[category] = json::array{average.mean, average.count};
    return out;
}

model::CategoryAverages parse_category_averages(const Json& value) {
    model::CategoryAverages out;
    const auto* object = value.if_object();
    if (!object) return out;
    for (const auto& [category, item] : *object) {
        const auto* pair = item.if_array();
        if (!pair || pair->size() != 2) continue;
        const auto mean = read::amount(pair->if_contains(0));
        const auto count = read::unsigned_integer(pair->if_contains(1));
        if (!mean || !count) continue;
        out[std::string(category)] = {*mean, std::min(*count, constants::max_averaged_jobs)};
    }
    return out;
}

}  // namespace pineroad::wire::records
