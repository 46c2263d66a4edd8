#include "wire/format_record.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

namespace pineroad::wire::records {

namespace json = boost::json;

Json format_json(const std::set<std::string>& controllers) {
    json::array list;
    for (const auto& name : controllers) list.emplace_back(name);
    return json::object{{"format", record_format}, {"controllers", std::move(list)}};
}

std::optional<std::set<std::string>> parse_format(const Json& value) {
    const auto* object = value.if_object();
    const auto* list = object ? read::list(*object, "controllers") : nullptr;
    if (list == nullptr || read::unsigned_integer(*object, "format").value_or(0) < record_format)
        return std::nullopt;
    std::set<std::string> out;
    for (const auto& name : *list)
        if (name.is_string()) out.emplace(name.get_string());
    return out;
}

}  // namespace pineroad::wire::records
