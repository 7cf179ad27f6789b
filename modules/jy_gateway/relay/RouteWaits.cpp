#include "jy_gateway/relay/RouteWaits.h"

#include <algorithm>

namespace jy {

namespace {

// A wait longer than this multiple of the median counts as silence.
constexpr int silenceFactor = 2;

} // namespace

void RouteWaits::add(const std::string &route, std::chrono::milliseconds wait)
{
    if (routes_.size() >= maxRoutes && !routes_.contains(route))
        routes_.clear();
    auto &waits = routes_[route];
    waits.last[waits.next] = wait;
    waits.next = (waits.next + 1) % keptWaits;
}

std::chrono::milliseconds RouteWaits::silenceTimeout(const std::string &route,
                                                     std::chrono::milliseconds target) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return target;
    auto sorted = found->second.last;
    const auto middle = sorted.begin() + keptWaits / 2;
    std::ranges::nth_element(sorted, middle);
    return std::max(target, silenceFactor * *middle);
}

} // namespace jy
