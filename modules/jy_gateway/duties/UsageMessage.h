#pragma once

#include "jy_gateway/duties/UsageCounts.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jy {

/** Usage counts that an instance sends to the collectors; repeats and losses do no harm. */
struct UsageMessage
{
    InstanceId instance;

    /** Start time of the process in Unix milliseconds. */
    std::uint64_t incarnation = 0;

    /** True time up to which the counts are complete; nothing if more messages follow. */
    std::optional<WallTime> countedUntil;

    UsageByWindow windows;
};

/** Splits a message so that the counts of each part take at most @p maxBytes when encoded. */
std::vector<UsageMessage> splitUsage(const UsageMessage &message, std::size_t maxBytes);

} // namespace jy
