#pragma once

#include "jy_base/time/TimeTypes.h"

namespace jy {

/** Token bucket that spreads the calls of one client over time. */
class CallRateLimit
{
public:
    /**
     * @param perSecond long-term rate
     * @param burst calls that may be made at once
     */
    CallRateLimit(double perSecond, double burst);

    /**
     * Takes a token, also from the future.
     *
     * @param longestWait the caller's patience
     * @returns the time to wait before the call, or a negative time when it would be too long and
     *     nothing was taken
     */
    Duration take(TimePoint now, Duration longestWait);

private:
    double perSecond_;
    double burst_;
    double tokens_;
    TimePoint last_;
};

} // namespace jy
