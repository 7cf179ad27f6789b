#include "jy_runtime/settings/AllowedText.h"

#include <array>
#include <charconv>

namespace jy::allowed_text {

std::string numberText(double value)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

std::string choice(const std::vector<std::string_view> &words)
{
    std::string result = "one of ";
    for (const auto word : words) {
        if (word != words.front())
            result += ", ";
        result.append(1, '"').append(word).append(1, '"');
    }
    return result;
}

std::string secret(std::size_t minimumSize)
{
    return "a text of at least " + std::to_string(minimumSize) + " characters";
}

std::string integer(SettingRange<std::int64_t> range)
{
    return "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high);
}

std::string number(SettingRange<double> range)
{
    return "a number from " + numberText(range.low) + " to " + numberText(range.high);
}

std::string list(std::size_t minimumSize, std::string_view elements)
{
    std::string result = "a list";
    if (minimumSize > 0)
        result += " of at least " + std::to_string(minimumSize);
    return result.append(", each ").append(elements);
}

} // namespace jy::allowed_text
