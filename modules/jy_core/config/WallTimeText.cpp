#include "jy_core/config/WallTimeText.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace jy {

namespace {

constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:dd";
constexpr std::size_t millisecondDigits = 3;

int number(std::string_view text, std::size_t position, std::size_t digits)
{
    int value = 0;
    std::from_chars(text.data() + position, text.data() + position + digits, value);
    return value;
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool matchesPattern(std::string_view text)
{
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i] == 'd' ? !isDigit(text[i]) : text[i] != pattern[i])
            return false;
    }
    return true;
}

// Accepts "Z" or ".ddd" followed by "Z".
std::optional<int> parseMilliseconds(std::string_view rest)
{
    if (rest == "Z")
        return 0;
    if (rest.size() != millisecondDigits + 2 || rest.front() != '.' || rest.back() != 'Z')
        return std::nullopt;
    for (std::size_t i = 1; i <= millisecondDigits; ++i) {
        if (!isDigit(rest[i]))
            return std::nullopt;
    }
    return number(rest, 1, millisecondDigits);
}

} // namespace

std::optional<WallTime> parseWallTime(std::string_view text)
{
    using namespace std::chrono;
    if (text.size() <= pattern.size() || !matchesPattern(text))
        return std::nullopt;
    const auto ms = parseMilliseconds(text.substr(pattern.size()));
    const year_month_day date{year{number(text, 0, 4)},
                              month{static_cast<unsigned>(number(text, 5, 2))},
                              day{static_cast<unsigned>(number(text, 8, 2))}};
    const int hour = number(text, 11, 2);
    const int minute = number(text, 14, 2);
    const int second = number(text, 17, 2);
    if (!ms || !date.ok() || hour > 23 || minute > 59 || second > 59)
        return std::nullopt;
    return sys_days{date} + hours{hour} + minutes{minute} + seconds{second} + milliseconds{*ms};
}

std::string wallTimeText(WallTime time)
{
    using namespace std::chrono;
    const auto day = floor<days>(time);
    const year_month_day date{day};
    const hh_mm_ss clock{floor<milliseconds>(time) - day};
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()));
    std::string result = text.data();
    if (const auto ms = clock.subseconds().count(); ms != 0) {
        std::snprintf(text.data(), text.size(), ".%03d", static_cast<int>(ms));
        result += text.data();
    }
    return result + 'Z';
}

} // namespace jy
