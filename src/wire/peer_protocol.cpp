#include "wire/gossip.hpp"

#include <cbor.h>

#include <memory>

namespace pineroad::wire {
namespace {

constexpr int required_fields = 9;  // that every version sends

struct Release {
    void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
using Item = std::unique_ptr<cbor_item_t, Release>;

Item text_item(std::string_view s) {
    return Item(cbor_build_stringn(s.data(), s.size()));
}
Item uint_item(std::uint64_t v) {
    return Item(cbor_build_uint64(v));
}

void add(cbor_item_t* map, const char* key, const Item& value) {
    const Item k(cbor_build_string(key));
    (void)!cbor_map_add(map, {k.get(), value.get()});  // the map takes its own references
}

std::optional<std::string> as_text(const cbor_item_t* item) {
    if (!cbor_isa_string(item) || !cbor_string_is_definite(item)) return std::nullopt;
    return std::string(reinterpret_cast<const char*>(cbor_string_handle(item)), cbor_string_length(item));
}

}  // namespace

std::string gossip_bytes(const Gossip& g) {
    const Item map(cbor_new_definite_map(required_fields + 2));
    add(map.get(), "node", text_item(g.node));
    add(map.get(), "token", uint_item(g.token));
    add(map.get(), "leader", text_item(g.leader));
    add(map.get(), "up_ms", uint_item(g.up_ms));
    add(map.get(), "state_age_ms", uint_item(g.state_age_ms));
    add(map.get(), "report_age_ms", uint_item(g.report_age_ms));
    add(map.get(), "epoch", uint_item(g.epoch));
    add(map.get(), "format", uint_item(g.format));
    add(map.get(), "asked_to_depend", Item(cbor_build_bool(g.asked_to_depend)));
    add(map.get(), "vouches", Item(cbor_build_bool(g.vouches)));
    // Revision and job in turn.
    const Item list(cbor_new_definite_array(2 * g.cancelled.size()));
    for (const auto& [revision, id] : g.cancelled) {
        const Item r = uint_item(revision), t = text_item(id);
        (void)!cbor_array_push(list.get(), r.get());
        (void)!cbor_array_push(list.get(), t.get());
    }
    add(map.get(), "cancelled", list);
    unsigned char* buffer = nullptr;
    std::size_t size = 0;
    const std::size_t n = cbor_serialize_alloc(map.get(), &buffer, &size);
    std::string out(reinterpret_cast<char*>(buffer), n);
    free(buffer);  // NOLINT: allocated by the library with malloc
    return out;
}

std::optional<Gossip> parse_gossip(std::string_view bytes) {
    cbor_load_result result{};
    const Item map(cbor_load(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), &result));
    if (!map || result.error.code != CBOR_ERR_NONE || !cbor_isa_map(map.get())) return std::nullopt;
    Gossip g;
    int found = 0;
    const auto* pairs = cbor_map_handle(map.get());
    for (std::size_t i = 0; i < cbor_map_size(map.get()); ++i) {
        const auto key = as_text(pairs[i].key);
        const cbor_item_t* v = pairs[i].value;
        if (!key) return std::nullopt;
        auto number = [&](std::uint64_t& into) {
            if (!cbor_isa_uint(v)) return false;
            into = cbor_get_int(v);
            return true;
        };
        auto text = [&](std::string& into) {
            auto t = as_text(v);
            if (t) into = std::move(*t);
            return t.has_value();
        };
        bool ok = true, required = true;
        if (*key == "node")
            ok = text(g.node);
        else if (*key == "leader")
            ok = text(g.leader);
        else if (*key == "token")
            ok = number(g.token);
        else if (*key == "up_ms")
            ok = number(g.up_ms);
        else if (*key == "state_age_ms")
            ok = number(g.state_age_ms);
        else if (*key == "report_age_ms")
            ok = number(g.report_age_ms);
        else if (*key == "epoch")
            ok = number(g.epoch);
        else if (*key == "vouches") {
            ok = cbor_is_bool(v);
            g.vouches = ok && cbor_get_bool(v);
        } else if (*key == "cancelled") {
            ok = cbor_isa_array(v) && cbor_array_size(v) % 2 == 0;
            for (std::size_t n = 0; ok && n < cbor_array_size(v); n += 2) {
                const auto* revision = cbor_array_handle(v)[n];
                auto id = as_text(cbor_array_handle(v)[n + 1]);
                ok = cbor_isa_uint(revision) && id;
                if (ok) g.cancelled.emplace_back(cbor_get_int(revision), std::move(*id));
            }
        } else {
            required = false;
            if (*key == "format") ok = number(g.format);
            if (*key == "asked_to_depend") {
                ok = cbor_is_bool(v);
                g.asked_to_depend = ok && cbor_get_bool(v);
            }
        }
        if (!ok) return std::nullopt;
        found += required;
    }
    if (found != required_fields) return std::nullopt;
    return g;
}

}  // namespace pineroad::wire
