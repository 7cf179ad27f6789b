#pragma once

#include "jy_base/time/TimeTypes.h"

namespace jy {

/**
 * Monotonic time that also advances while the process or the machine is suspended (CLOCK_BOOTTIME).
 *
 * Use it for leases: a holder that was suspended has to notice that its lease has expired. Values
 * are comparable only with each other, not with std::chrono::steady_clock::now().
 */
TimePoint bootTime();

} // namespace jy
