#pragma once

#include "jy_base/time/TimeTypes.h"

#include <array>
#include <cstddef>

namespace jy {

struct RetryBudgetSettings
{
    /** Retries as a share of first attempts. */
    double share = 0.1;

    /** Retries per second that are allowed regardless of the number of first attempts. */
    double minimumPerSecond = 0.1;
};

/**
 * Retry budget of one router over a sliding window of 10 s.
 *
 * The budget is a share of the router's own first attempts, so the retries of the whole fleet stay
 * within the same share without communication between routers.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    void setShare(double share) { settings_.share = share; }
    void setMinimumPerSecond(double rate) { settings_.minimumPerSecond = rate; }

    /** Counts a first attempt. */
    void recordAttempt(TimePoint now);

    /** Counts a retry if the budget allows it. @returns whether it does. */
    bool tryRetry(TimePoint now);

    /** Returns a retry that was granted at @p granted and not made. */
    void returnRetry(TimePoint granted);

    static constexpr std::size_t windowSeconds = 10;

private:
    struct Slot
    {
        std::int64_t second = -1;
        int attempts = 0;
        int retries = 0;
    };

    Slot &slotFor(TimePoint now);

    RetryBudgetSettings settings_;
    std::array<Slot, windowSeconds> slots_;
};

} // namespace jy
