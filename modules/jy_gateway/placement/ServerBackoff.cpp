#include "jy_gateway/placement/ServerBackoff.h"

#include <algorithm>

namespace jy {

void ServerBackoff::begin(const ServerId &server, std::chrono::milliseconds duration, TimePoint now)
{
    if (duration <= std::chrono::milliseconds(0))
        return;
    auto &until = until_[server];
    until = std::max(until, now + std::min(duration, maxDuration));
}

std::optional<TimePoint> ServerBackoff::until(const ServerId &server, TimePoint now) const
{
    const auto found = until_.find(server);
    if (found == until_.end() || found->second <= now)
        return std::nullopt;
    return found->second;
}

void ServerBackoff::expire(TimePoint now)
{
    std::erase_if(until_, [&](const auto &entry) { return entry.second <= now; });
}

} // namespace jy
