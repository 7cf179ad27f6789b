#include "jy_base/time/HybridClock.h"

#include <algorithm>

namespace jy {

namespace {

std::int64_t toMilliseconds(WallTime wall)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
}

} // namespace

HybridTime HybridClock::tick(WallTime wall)
{
    const auto wallMs = toMilliseconds(wall);
    if (wallMs > last_.wallMs)
        last_ = {wallMs, 0};
    else
        ++last_.counter;
    return last_;
}

HybridTime HybridClock::receive(HybridTime remote, WallTime wall)
{
    last_ = std::max(last_, remote);
    return tick(wall);
}

} // namespace jy
