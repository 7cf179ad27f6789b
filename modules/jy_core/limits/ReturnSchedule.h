#pragma once

#include "jy_base/time/TimeTypes.h"

#include <chrono>

namespace jy {

/**
 * Times at which refused requests may return to one service at one instance.
 *
 * The times follow each other at half the rate at which places become free, so that the returning
 * requests do not come at once, and leave room for new ones.
 */
class ReturnSchedule
{
public:
    static constexpr std::chrono::milliseconds shortest{100};
    static constexpr std::chrono::milliseconds longest{10'000};

    /** Time between two places becoming free while no request has ended yet. */
    static constexpr std::chrono::milliseconds defaultInterval{50};

    /**
     * Assigns the next time.
     *
     * @param placeInterval mean time between two places becoming free; zero if unknown
     * @param draw random number in [0, 1) that varies the result by up to a quarter
     * @returns the time from @p now, for Retry-After
     */
    std::chrono::milliseconds next(Duration placeInterval, double draw, TimePoint now);

    /** Forgets the times assigned so far; called once there is room for everybody. */
    void reset() { last_ = {}; }

private:
    TimePoint last_;
};

} // namespace jy
