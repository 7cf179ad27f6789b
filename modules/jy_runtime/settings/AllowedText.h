#pragma once

#include "jy_runtime/settings/SettingsVisitor.h"

#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** Wording of what a setting allows; shared by error messages and the settings reference. */
namespace allowed_text {

inline constexpr std::string_view text = "a text that is not empty";
inline constexpr std::string_view flag = "true or false";
inline constexpr std::string_view endpoint = "an IP address and port such as \"10.0.0.1:8080\"";
inline constexpr std::string_view object = "an object";

/** The shortest decimal that reads back as the same value. */
std::string numberText(double value);

std::string choice(const std::vector<std::string_view> &words);
std::string secret(std::size_t minimumSize);
std::string integer(SettingRange<std::int64_t> range);
std::string number(SettingRange<double> range);
std::string list(std::size_t minimumSize, std::string_view elements);

} // namespace allowed_text

} // namespace jy
