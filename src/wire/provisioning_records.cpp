#include "wire/provisioning_records.hpp"

#include <algorithm>
#include <boost/json/object.hpp>
#include <cstdint>
#include <utility>

#include "config/constants.hpp"

namespace pineroad::wire::records {

namespace json = boost::json;

Json provisioning_request_json(const model::ProvisioningRequest& request) {
    return json::object{
        {"type", request.type}, {"zone", request.zone}, {"spot", request.spot}, {"count", request.count}};
}

std::optional<model::ProvisioningRequest> parse_provisioning_request(const std::string& name,
                                                                     const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto type = read::text(*object, "type");
    const auto zone = read::text(*object, "zone");
    const auto spot = read::flag(*object, "spot");
    const auto count = read::unsigned_integer(*object, "count");
    if (!type || !zone || !spot || !count) return std::nullopt;
    constexpr std::uint64_t max_count = constants::max_machines_per_request;
    const auto machines = static_cast<std::uint32_t>(std::min(*count, max_count));
    return model::ProvisioningRequest{name, *type, *zone, *spot, machines};
}

Json provisioning_requests_json(const std::vector<model::ProvisioningRequest>& requests) {
    json::object out;
    for (const auto& request : requests) out[request.name] = provisioning_request_json(request);
    return out;
}

std::optional<std::vector<model::ProvisioningRequest>> parse_provisioning_requests(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    std::vector<model::ProvisioningRequest> out;
    for (const auto& [name, item] : *object) {
        auto request = parse_provisioning_request(name, item);
        if (!request) return std::nullopt;
        out.push_back(std::move(*request));
    }
    return out;
}

}  // namespace pineroad::wire::records
