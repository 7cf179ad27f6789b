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

ServerRateLimits::ServerRateLimits(InstanceId self)
    : allowance_(std::move(self))
{ }

bool ServerRateLimits::set(const ServerId &server, std::optional<double> perSecond, TimePoint now)
{
    const auto before = limitOf(server, now);
    if (!perSecond) {
        limits_.erase(server);
        return before.has_value();
    }
    auto &limit = limits_[server];
    limit.perSecond = *perSecond;
    limit.renewed = now;
    return !before || std::abs(*before - *perSecond) > significantChange * *before;
}

bool ServerRateLimits::observe(const ServerId &server, std::optional<double> perSecond,
                               TimePoint now)
{
    if (!perSecond && limits_.empty())
        return false;
    const bool changed = set(server, perSecond, now);
    const auto limit = limits_.find(server);
    if (!changed && (limit == limits_.end() || now - limit->second.reported < repeatInterval))
        return false;
    if (limit != limits_.end())
        limit->second.reported = now;
    queue(heartbeats_, {server, perSecond}, changed);
    queue(groupReports_, {server, perSecond}, changed);
    return changed;
}

bool ServerRateLimits::receive(const ServerLimitReport &report, TimePoint now)
{
    queue(groupReports_, report, false);
    return receiveFromGroup(report, now);
}

bool ServerRateLimits::receiveFromGroup(const ServerLimitReport &report, TimePoint now)
{
    const bool changed = set(report.server, report.perSecond, now);
    const auto limit = limits_.find(report.server);
    if (limit != limits_.end())
        limit->second.reported = now;
    return changed;
}

void ServerRateLimits::queue(Reports &reports, const ServerLimitReport &report, bool changed)
{
    std::erase_if(reports, [&](const auto &other) { return other.server == report.server; });
    if (changed)
        reports.push_front(report);
    else
        reports.push_back(report);
    if (reports.size() > maxPending)
        reports.pop_back();
}

std::vector<ServerLimitReport> ServerRateLimits::take(Reports &reports, std::size_t maxCount)
{
    const auto end =
        reports.begin() + static_cast<std::ptrdiff_t>(std::min(maxCount, reports.size()));
    std::vector<ServerLimitReport> taken(reports.begin(), end);
    reports.erase(reports.begin(), end);
    return taken;
}

std::vector<ServerLimitReport> ServerRateLimits::takeReports(std::size_t maxCount)
{
    return take(heartbeats_, maxCount);
}

std::vector<ServerLimitReport> ServerRateLimits::takeGroupReports(std::size_t maxCount)
{
    return take(groupReports_, maxCount);
}

bool ServerRateLimits::available(const ServerId &server, TimePoint now)
{
    const auto limit = limitOf(server, now);
    if (!limit)
        return true;
    const auto wanted =
        std::max<std::size_t>(1, static_cast<std::size_t>(*limit * sharersPerRequest));
    return allowance_.available(server, *limit, std::min(wanted, allowance_.liveInstances()), now);
}

void ServerRateLimits::spend(const ServerId &server, TimePoint now)
{
    if (limitOf(server, now))
        allowance_.spend(server, now);
}

void ServerRateLimits::retain(const std::set<ServerId> &known)
{
    std::erase_if(limits_, [&](const auto &entry) { return !known.contains(entry.first); });
    allowance_.retain(known);
}

std::optional<double> ServerRateLimits::limitOf(const ServerId &server, TimePoint now) const
{
    const auto found = limits_.find(server);
    if (found == limits_.end() || now - found->second.renewed > lifetimeOf(found->second.perSecond))
        return std::nullopt;
    return found->second.perSecond;
}

} // namespace jy
