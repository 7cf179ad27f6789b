#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/membership/MembershipMessages.h"

#include <map>
#include <optional>

namespace jy {

/**
 * Sums the pool reports of the owners at the aggregator of a pool.
 *
 * A report counts for 3 s, so that two lost datagrams of the 1 s period do not change the sums. A
 * server whose owner changes may count twice or not at all for that long.
 *
 * @see docs/decisions/pool-aggregation.md
 */
class PoolAggregator
{
public:
    static constexpr std::chrono::seconds reportLifetime{3};

    /** Records a report, replacing the previous one of the same owner and pool. */
    void report(const InstanceId &owner, const PoolReport &report, TimePoint now);

    /** Removes the reports of a router that is dead or has left. */
    void removeOwner(const InstanceId &owner);

    /** @returns the sums over valid reports, or nothing when there is none. */
    std::optional<PoolTotals> totals(const std::string &pool, TimePoint now);

private:
    struct Entry
    {
        PoolReport report;
        TimePoint received;
    };

    std::map<std::string, std::map<InstanceId, Entry>> pools_;
};

} // namespace jy
