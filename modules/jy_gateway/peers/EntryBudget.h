#pragma once

#include "jy_base/time/TimeTypes.h"

#include <algorithm>
#include <cstddef>

namespace jy {

/**
 * Limits the entries that heartbeats or reports carry only in an incident, so that control traffic
 * stays within its bound at any number of receivers.
 *
 * Entries that are sent beyond the budget delay later ones.
 */
class EntryBudget
{
public:
    /** Bytes per second to all receivers together; a 56th of the bound for control traffic. */
    static constexpr double bytesPerSecond = 250;

    /** Largest encoded size of an entry. */
    static constexpr double entryBytes = 16;

    /** @returns the number of entries that a datagram to each of @p receivers may contain now */
    std::size_t available(std::size_t receivers, TimePoint now)
    {
        const std::chrono::duration<double> passed = now - filled_;
        filled_ = now;
        // Saves up a second, or one entry if that is more.
        const double most = std::max(bytesPerSecond, costOf(1, receivers));
        bytes_ = std::min(most, bytes_ + passed.count() * bytesPerSecond);
        return bytes_ <= 0 ? 0 : static_cast<std::size_t>(bytes_ / costOf(1, receivers));
    }

    void spend(std::size_t entries, std::size_t receivers) { bytes_ -= costOf(entries, receivers); }

private:
    static double costOf(std::size_t entries, std::size_t receivers)
    {
        return entryBytes * static_cast<double>(entries * std::max<std::size_t>(1, receivers));
    }

    double bytes_ = 0;
    TimePoint filled_;
};

} // namespace jy
