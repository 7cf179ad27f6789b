#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstdint>

namespace jy {

/** Milliseconds since the Unix epoch, the form in which times of day are stored and sent. */
inline std::int64_t toUnixMs(WallTime time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

inline WallTime fromUnixMs(std::int64_t time)
{
    return WallTime(std::chrono::milliseconds(time));
}

} // namespace jy
