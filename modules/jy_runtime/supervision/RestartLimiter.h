#pragma once

#include "jy_base/time/TimeTypes.h"

#include <chrono>
#include <deque>

namespace jy {

/** Counts restarts within a sliding window. */
class RestartLimiter
{
public:
    /**
     * @param maxRestarts restarts allowed within the window; 0 allows none
     * @param window length of the sliding window
     */
    RestartLimiter(int maxRestarts, std::chrono::milliseconds window);

    /** Counts a restart. @returns false when it would exceed the limit. */
    bool allow(TimePoint now);

private:
    int maxRestarts_;
    std::chrono::milliseconds window_;
    std::deque<TimePoint> restarts_;
};

} // namespace jy
