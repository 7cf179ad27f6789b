#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstdint>

namespace jy {

/** Bounds the lines that requests cause, so that a flood of requests is not one of lines too. */
class LogBudget
{
public:
    /** @param linesPerSecond lines that are written in one second at most */
    explicit LogBudget(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    { }

    /** Whether a line may be written now; counts it as dropped otherwise. */
    bool take(TimePoint now);

    /** @returns the lines dropped since the last call. */
    std::uint64_t takeDropped();

private:
    int linesPerSecond_;
    TimePoint secondStart_;
    int written_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace jy
