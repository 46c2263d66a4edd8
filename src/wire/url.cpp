#include "wire/url.hpp"

#include <cctype>

namespace pineroad::wire {

std::string escape_query_value(std::string_view value) {
    static constexpr std::string_view hex = "0123456789ABCDEF";
    static constexpr std::string_view unescaped_marks = "-_./~";
    std::string out;
    for (const unsigned char c : value) {
        if (std::isalnum(c) || unescaped_marks.find(static_cast<char>(c)) != std::string_view::npos) {
            out += static_cast<char>(c);
        } else {
            out += '%';
            out += hex[c >> 4];
            out += hex[c & 15];
        }
    }
    return out;
}

}  // namespace pineroad::wire
