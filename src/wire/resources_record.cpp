#include "wire/resources_record.hpp"

#include "wire/json_reader.hpp"

namespace pineroad::wire::records {

boost::json::array resources_json(const model::Resources& resources) {
    return {resources.cpus, resources.gpus, resources.memory_gb};
}

std::optional<model::Resources> parse_resources(const boost::json::object& object, std::string_view key) {
    const auto* list = read::list(object, key);
    if (!list || list->size() != 3) return std::nullopt;
    const auto cpus = read::amount(list->if_contains(0));
    const auto gpus = read::amount(list->if_contains(1));
    const auto memory_gb = read::amount(list->if_contains(2));
    if (!cpus || !gpus || !memory_gb) return std::nullopt;
    return model::Resources{*cpus, *gpus, *memory_gb};
}

}  // namespace pineroad::wire::records
