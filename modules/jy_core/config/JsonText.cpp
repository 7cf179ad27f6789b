#include "jy_core/config/JsonText.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>

namespace jy {

namespace {

namespace json = boost::json;

void append(std::string &out, const json::value &value)
{
    const char *separator = "";
    if (const auto *object = value.if_object()) {
        out += '{';
        for (const auto &entry : *object) {
            out += separator + json::serialize(json::string(entry.key())) + ": ";
            append(out, entry.value());
            separator = ", ";
        }
        out += '}';
    } else if (const auto *array = value.if_array()) {
        out += '[';
        for (const auto &entry : *array) {
            out += separator;
            append(out, entry);
            separator = ", ";
        }
        out += ']';
    } else if (const auto *number = value.if_double()) {
        std::array<char, 32> text{};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), *number).ptr;
        out.append(text.data(), end);
    } else {
        out += json::serialize(value);
    }
}

} // namespace

std::string jsonText(const json::value &value)
{
    std::string out;
    append(out, value);
    return out;
}

} // namespace jy
