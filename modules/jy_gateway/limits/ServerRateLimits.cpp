#include "jy_gateway/limits/ServerRateLimits.h"

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

// Requests for which a limit is remembered, so that a low one outlasts the time between them.
constexpr double lifetimeRequests = 3;

// Changes of a limit by less than this share are not reported.
constexpr double significantChange = 0.1;

Duration lifetimeOf(double perSecond)
{
    constexpr double longest = 600;
    const std::chrono::duration<double> needed(
        perSecond > 0 ? std::min(longest, lifetimeRequests / perSecond) : longest);
    return std::max<Duration>(ServerRateLimits::minLifetime,
                              std::chrono::duration_cast<Duration>(needed));
}

} // namespace

bool ServerRateLimits::observe(const ServerId &server, std::optional<double> perSecond,
                               TimePoint now)
{
    const auto before = limitOf(server, now);
    if (!perSecond) {
        limits_.erase(server);
        return before.has_value();
    }
    limits_[server] = {*perSecond, now};
    return !before || std::abs(*before - *perSecond) > significantChange * *before;
}

std::optional<double> ServerRateLimits::limitOf(const ServerId &server, TimePoint now) const
{
    const auto found = limits_.find(server);
    if (found == limits_.end() || now - found->second.renewed > lifetimeOf(found->second.perSecond))
        return std::nullopt;
    return found->second.perSecond;
}

} // namespace jy
