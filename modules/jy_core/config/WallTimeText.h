#pragma once

#include "jy_base/time/TimeTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace jy {

/** Parses a UTC time "YYYY-MM-DDTHH:MM:SSZ" with optional milliseconds (RFC 3339). */
std::optional<WallTime> parseWallTime(std::string_view text);

/** Formats a time as parseWallTime() reads it, with milliseconds only if they are not zero. */
std::string wallTimeText(WallTime time);

} // namespace jy
