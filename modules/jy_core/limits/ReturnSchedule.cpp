#include "jy_core/limits/ReturnSchedule.h"

#include <algorithm>

namespace jy {

namespace {

// Every second free place is meant for a returning request.
constexpr int placesPerReturn = 2;

constexpr double jitter = 0.25;

} // namespace

std::chrono::milliseconds ReturnSchedule::next(Duration placeInterval, double draw, TimePoint now)
{
    const auto interval = placeInterval > Duration::zero() ? placeInterval : defaultInterval;
    last_ = std::min(std::max(last_, now) + placesPerReturn * interval, now + longest);
    const double factor = 1 - jitter + 2 * jitter * draw;
    const std::chrono::duration<double, std::milli> wait = (last_ - now) * factor;
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), shortest, longest);
}

} // namespace jy
