#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/DutyApi.h"

#include <chrono>
#include <map>

namespace jy {

/** Converts between times and usage windows of a fixed length. */
class UsageCalendar
{
public:
    explicit UsageCalendar(std::chrono::milliseconds length)
        : length_(length)
    { }

    UsageWindow windowAt(WallTime time) const;
    WallTime endOf(UsageWindow window) const;

private:
    std::chrono::milliseconds length_;
};

/** Counts by window. */
using UsageByWindow = std::map<UsageWindow, WorkspaceCounts>;

/** Counts the requests of this instance that backend servers began to run. */
class UsageCounts
{
public:
    explicit UsageCounts(UsageCalendar calendar);

    /** @param began true time at which a backend server began to run the request */
    void add(const WorkspaceId &workspace, WallTime began);

    /** Counts of the windows that collectors still need, each complete since its begin. */
    const UsageByWindow &windows() const { return windows_; }

    /** Drops the windows that ended more than retention ago. */
    void expire(WallTime now);

private:
    /** Time after its end for which a window is repeated, so that a new collector learns of it. */
    static constexpr std::chrono::seconds retention{6};

    UsageCalendar calendar_;
    UsageByWindow windows_;
};

} // namespace jy
