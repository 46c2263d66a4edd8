#include "wire/leadership_records.hpp"

#include <boost/json/object.hpp>

namespace pineroad::wire::records {

namespace json = boost::json;

Json leader_json(const Leader& leader) {
    return json::object{{"node", leader.node},
                        {"token", leader.fencing_token},
                        {"lease", leader.lease},
                        {"nonce", leader.nonce}};
}

std::optional<Leader> parse_leader(const Json& value) {
    const auto* object = value.if_object();
    if (!object) return std::nullopt;
    const auto node = read::text(*object, "node");
    const auto fencing_token = read::unsigned_integer(*object, "token");
    const auto lease = read::unsigned_integer(*object, "lease");
    const auto nonce = read::unsigned_integer(*object, "nonce");
    if (!node || !fencing_token || !lease || !nonce) return std::nullopt;
    return Leader{*node, *fencing_token, *lease, *nonce};
}

Json term_json(std::uint64_t fencing_token) {
    return json::object{{"token", fencing_token}};
}

std::optional<std::uint64_t> parse_term(const Json& value) {
    const auto* object = value.if_object();
    return object ? read::unsigned_integer(*object, "token") : std::nullopt;
}

}  // namespace pineroad::wire::records
