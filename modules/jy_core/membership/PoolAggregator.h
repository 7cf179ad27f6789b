#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/membership/MembershipMessages.h"

#include <map>
#include <optional>

namespace jy {

/**
 * Adds up the reports of the owners of a pool; runs on the router that aggregates the pool.
 *
 * A report is valid for 3 s. Reports are sent every second, so two lost datagrams do not change the
 * totals. When the owner of a server changes, the server may count twice or not at all for up to
 * that time.
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

    /** @returns the totals over the valid reports, or nothing if there are none. */
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
