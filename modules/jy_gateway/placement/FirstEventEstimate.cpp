#include "jy_gateway/placement/FirstEventEstimate.h"

#include "jy_gateway/placement/ServerChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jy {

namespace {

// Time to start a copy, regardless of its size.
constexpr Milliseconds copySetup{4};

// Lower limit of the mean prefill time, so that it can be divided by.
constexpr Milliseconds shortestPrefill{1};

} // namespace

Milliseconds prefillTime(std::int64_t tokens)
{
    return Milliseconds(static_cast<double>(tokens) / ServerChooser::prefillTokensPerMs);
}

Milliseconds copyTime(std::int64_t tokens, const ServicePolicy &policy)
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAndMbps = 1000;
    if (policy.cacheLinkMbps <= 0)
        return Milliseconds(std::numeric_limits<double>::infinity());
    const double bits =
        static_cast<double>(tokens) * static_cast<double>(policy.cacheTokenBytes) * bitsPerByte;
    return Milliseconds(bits / (policy.cacheLinkMbps * bitsPerMsAndMbps)) + copySetup;
}

int stillWaiting(int waiting, Duration age, Milliseconds meanPrefill)
{
    const double processed = age / std::max(shortestPrefill, meanPrefill);
    return static_cast<int>(std::max(0.0, waiting - std::floor(processed)));
}

Milliseconds expectedFirstEvent(const ServerWork &server, const PromptWork &prompt)
{
    const int slots = std::max(1, server.slots);
    // The request itself needs a slot, too.
    const int aboveSlots = std::max(0, server.inFlight + 1 - slots);
    const auto untilSlotFree = prompt.meanDuration / slots;
    const auto queue = std::max(0, server.waiting) * prompt.meanPrefill;
    const auto own = server.cached ? Milliseconds(0) : prompt.obtainPrefix;
    return (queue + aboveSlots * untilSlotFree + own) * server.pace;
}

} // namespace jy
