#include "wire/url.hpp"

#include <cctype>

namespace pineroad::wire {
namespace {

// Percent-encodes every byte except letters, digits and "-_./~". Record keys and machine names rarely contain
// other bytes.
std::string escape(std::string_view value) {
    static constexpr std::string_view hex = "0123456789ABCDEF";
    static constexpr std::string_view unescaped_punctuation = "-_./~";
    std::string out;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || unescaped_punctuation.find(character) != std::string_view::npos) {
            out += character;
        } else {
            out += '%';
            out += hex[byte / hex.size()];
            out += hex[byte % hex.size()];
        }
    }
    return out;
}

}  // namespace

void add_query_parameter(std::string& target, std::string_view name, std::string_view value) {
    target += target.find('?') == std::string::npos ? '?' : '&';
    target.append(name).append("=").append(escape(value));
}

}  // namespace pineroad::wire
