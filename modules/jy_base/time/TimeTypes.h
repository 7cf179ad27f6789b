#pragma once

#include <chrono>

namespace jy {

/** Monotonic time; the only time the decision core accepts. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Difference between two monotonic times. */
using Duration = std::chrono::steady_clock::duration;

/** Wall-clock time, used for deadlines that operators write and for display. */
using WallTime = std::chrono::system_clock::time_point;

} // namespace jy
