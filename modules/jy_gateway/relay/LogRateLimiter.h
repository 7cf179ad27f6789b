#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstdint>

namespace jy {

/** Limits the rate of log lines about requests, so that a request flood does not flood the log. */
class LogRateLimiter
{
public:
    /** @param linesPerSecond maximum number of lines in one second */
    explicit LogRateLimiter(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    { }

    /** @returns whether a line may be written now; otherwise counts it as dropped. */
    bool allow(TimePoint now);

    /** @returns the number of lines dropped since the last call. */
    std::uint64_t takeDropped();

private:
    int linesPerSecond_;
    TimePoint secondStart_;
    int written_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace jy
