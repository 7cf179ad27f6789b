#include "jy_gateway/duties/UsageCounts.h"

namespace jy {

UsageWindow UsageCalendar::windowAt(WallTime time) const
{
    const auto since = std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch());
    // Rounds down also before the epoch.
    const auto intoWindow = (since % length_ + length_) % length_;
    return (since - intoWindow) / length_;
}

WallTime UsageCalendar::endOf(UsageWindow window) const
{
    return WallTime(length_ * (window + 1));
}

UsageCounts::UsageCounts(UsageCalendar calendar)
    : calendar_(calendar)
{ }

void UsageCounts::add(const WorkspaceId &workspace, WallTime began)
{
    ++windows_[calendar_.windowAt(began)][workspace];
}

void UsageCounts::expire(WallTime now)
{
    std::erase_if(windows_, [&](const auto &entry) {
        return calendar_.endOf(entry.first) + retention < now;
    });
}

} // namespace jy
