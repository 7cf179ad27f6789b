#pragma once

#include "jy_gateway/duties/UsageMessage.h"

#include <optional>
#include <set>

namespace jy {

/** Sums over all instances, as kept in the shared store in case that all collectors end. */
struct UsageSnapshot
{
    WallTime taken;
    UsageByWindow windows;
};

/**
 * Usage counts of all instances, as collected by an instance that may report them.
 *
 * Counts of one process only grow, so the largest value received is the latest.
 */
class UsageTable
{
public:
    void receive(const UsageMessage &message);

    /** Adds the sums that a previous collector stored, unless later ones are known. Counts of
     * processes that started before the snapshot may be part of it. */
    void restore(UsageSnapshot snapshot);

    /** The requests of all instances in a window. */
    WorkspaceCounts totals(UsageWindow window) const;

    /** Whether all @p live instances have sent their counts up to @p until. */
    bool complete(const std::set<InstanceId> &live, WallTime until) const;

    /** The oldest window with requests; nothing without any. */
    std::optional<UsageWindow> firstWindow() const;

    UsageSnapshot snapshot(WallTime now) const;

    /** Drops the windows before @p oldest, and processes without any counts left. */
    void expire(UsageWindow oldest);

private:
    struct Process
    {
        WallTime countedUntil;
        UsageByWindow windows;
    };

    std::set<UsageWindow> windows() const;

    /** By instance and incarnation; several of an instance that restarted. */
    std::map<InstanceId, std::map<std::uint64_t, Process>> processes_;
    UsageSnapshot restored_;
};

} // namespace jy
