#include "jy_base/time/BootClock.h"

#include <ctime>

namespace jy {

TimePoint bootTime()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace jy
