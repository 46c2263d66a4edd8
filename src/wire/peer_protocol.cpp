#include "wire/peer_protocol.hpp"

#include <cbor.h>

#include <array>
#include <memory>

namespace pineroad::wire {
namespace {

// A field that holds one number. `name` is the wire name; a required field is sent by every version.
struct NumberField {
    std::string_view name;
    std::uint64_t PeerMessage::*member;
    bool required;
};
constexpr NumberField token_field{"token", &PeerMessage::fencing_token, true};
constexpr NumberField uptime_field{"up_ms", &PeerMessage::uptime_ms, true};
constexpr NumberField store_contact_field{"state_age_ms", &PeerMessage::store_contact_age_ms, true};
constexpr NumberField heartbeat_field{"report_age_ms", &PeerMessage::heartbeat_age_ms, true};
constexpr NumberField revision_field{"epoch", &PeerMessage::revision, true};
constexpr NumberField format_field{"format", &PeerMessage::record_format, false};
constexpr std::array number_fields{&token_field,     &uptime_field,   &store_contact_field,
                                   &heartbeat_field, &revision_field, &format_field};

struct TextField {
    std::string_view name;
    std::string PeerMessage::*member;
};
constexpr TextField node_field{"node", &PeerMessage::node};
constexpr TextField leader_field{"leader", &PeerMessage::leader};
constexpr std::array text_fields{&node_field, &leader_field};  // all required

struct FlagField {
    std::string_view name;
    bool PeerMessage::*member;
    bool required;
};
constexpr FlagField confirms_field{"vouches", &PeerMessage::confirms_cancellations, true};
constexpr FlagField dependencies_field{"asked_to_depend", &PeerMessage::dependencies_requested, false};
constexpr std::array flag_fields{&confirms_field, &dependencies_field};

constexpr std::string_view cancelled_name = "cancelled";  // required

constexpr int required_fields = 9;
constexpr int optional_fields = 2;

struct CborDeleter {
    void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
using CborItem = std::unique_ptr<cbor_item_t, CborDeleter>;

CborItem text_item(std::string_view text) {
    return CborItem(cbor_build_stringn(text.data(), text.size()));
}

CborItem number_item(std::uint64_t number) {
    return CborItem(cbor_build_uint64(number));
}

void add(cbor_item_t* map, std::string_view name, const CborItem& value) {
    const CborItem key = text_item(name);
    (void)!cbor_map_add(map, {key.get(), value.get()});  // the map takes its own references to both
}

void add(cbor_item_t* map, const NumberField& field, const PeerMessage& message) {
    add(map, field.name, number_item(message.*field.member));
}

void add(cbor_item_t* map, const TextField& field, const PeerMessage& message) {
    add(map, field.name, text_item(message.*field.member));
}

void add(cbor_item_t* map, const FlagField& field, const PeerMessage& message) {
    add(map, field.name, CborItem(cbor_build_bool(message.*field.member)));
}

void add_cancelled(cbor_item_t* map, const PeerMessage& message) {
    const CborItem list(cbor_new_definite_array(2 * message.cancelled.size()));
    for (const auto& [revision, job] : message.cancelled) {
        const CborItem revision_item = number_item(revision);
        const CborItem job_item = text_item(job);
        (void)!cbor_array_push(list.get(), revision_item.get());
        (void)!cbor_array_push(list.get(), job_item.get());
    }
    add(map, cancelled_name, list);
}

std::string serialize(const cbor_item_t* item) {
    unsigned char* buffer = nullptr;
    std::size_t capacity = 0;
    const std::size_t size = cbor_serialize_alloc(item, &buffer, &capacity);
    std::string out(reinterpret_cast<char*>(buffer), size);
    free(buffer);  // NOLINT: allocated by the library with malloc
    return out;
}

std::optional<std::string> text_of(const cbor_item_t* item) {
    if (!cbor_isa_string(item) || !cbor_string_is_definite(item)) return std::nullopt;
    return std::string(reinterpret_cast<const char*>(cbor_string_handle(item)), cbor_string_length(item));
}

bool read_number(const cbor_item_t* item, std::uint64_t& into) {
    if (!cbor_isa_uint(item)) return false;
    into = cbor_get_int(item);
    return true;
}

bool read_text(const cbor_item_t* item, std::string& into) {
    auto text = text_of(item);
    if (!text) return false;
    into = std::move(*text);
    return true;
}

bool read_flag(const cbor_item_t* item, bool& into) {
    if (!cbor_is_bool(item)) return false;
    into = cbor_get_bool(item);
    return true;
}

bool read_cancelled(const cbor_item_t* item, PeerMessage& message) {
    if (!cbor_isa_array(item) || cbor_array_size(item) % 2 != 0) return false;
    cbor_item_t** const entries = cbor_array_handle(item);
    for (std::size_t i = 0; i < cbor_array_size(item); i += 2) {
        auto job = text_of(entries[i + 1]);
        std::uint64_t revision = 0;
        if (!job || !read_number(entries[i], revision)) return false;
        message.cancelled.emplace_back(revision, std::move(*job));
    }
    return true;
}

// Result of reading one field of a message.
enum class FieldStatus { malformed, required, optional, unknown };

FieldStatus field_status(bool well_formed, bool required) {
    if (!well_formed) return FieldStatus::malformed;
    return required ? FieldStatus::required : FieldStatus::optional;
}

FieldStatus read_field(std::string_view name, const cbor_item_t* item, PeerMessage& message) {
    for (const auto* field : number_fields) {
        if (field->name == name)
            return field_status(read_number(item, message.*(field->member)), field->required);
    }
    for (const auto* field : text_fields) {
        if (field->name == name) return field_status(read_text(item, message.*(field->member)), true);
    }
    for (const auto* field : flag_fields) {
        if (field->name == name)
            return field_status(read_flag(item, message.*(field->member)), field->required);
    }
    if (name == cancelled_name) return field_status(read_cancelled(item, message), true);
    return FieldStatus::unknown;
}

}  // namespace

std::string encode_peer_message(const PeerMessage& message) {
    const CborItem map(cbor_new_definite_map(required_fields + optional_fields));
    add(map.get(), node_field, message);
    add(map.get(), token_field, message);
    add(map.get(), leader_field, message);
    add(map.get(), uptime_field, message);
    add(map.get(), store_contact_field, message);
    add(map.get(), heartbeat_field, message);
    add(map.get(), revision_field, message);
    add(map.get(), format_field, message);
    add(map.get(), dependencies_field, message);
    add(map.get(), confirms_field, message);
    add_cancelled(map.get(), message);
    return serialize(map.get());
}

std::optional<PeerMessage> parse_peer_message(std::string_view bytes) {
    cbor_load_result result{};
    const CborItem map(
        cbor_load(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), &result));
    if (!map || result.error.code != CBOR_ERR_NONE || !cbor_isa_map(map.get())) return std::nullopt;
    PeerMessage message;
    int required_found = 0;
    const auto* pairs = cbor_map_handle(map.get());
    for (std::size_t i = 0; i < cbor_map_size(map.get()); ++i) {
        const auto name = text_of(pairs[i].key);
        if (!name) return std::nullopt;
        const auto status = read_field(*name, pairs[i].value, message);
        if (status == FieldStatus::malformed) return std::nullopt;
        if (status == FieldStatus::required) ++required_found;
    }
    if (required_found != required_fields) return std::nullopt;
    return message;
}

}  // namespace pineroad::wire
