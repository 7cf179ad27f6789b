#include "jy_core/membership/SeedList.h"

#include <algorithm>

namespace jy {

SeedList::SeedList(const std::vector<Endpoint> &fixed)
{
    for (const auto &endpoint : fixed)
        entries_[endpoint].fixed = true;
}

void SeedList::setListed(const std::vector<Endpoint> &listed)
{
    for (auto &[endpoint, entry] : entries_)
        entry.listed = false;
    for (const auto &endpoint : listed)
        entries_[endpoint].listed = true;
    std::erase_if(entries_,
                  [](const auto &item) { return !item.second.fixed && !item.second.listed; });
}

std::vector<Endpoint> SeedList::due(TimePoint now, std::size_t count,
                                    const std::function<bool(const Endpoint &)> &known)
{
    std::vector<Endpoint> endpoints;
    for (auto &[endpoint, entry] : entries_) {
        if (endpoints.size() >= count)
            break;
        if (now < entry.nextAttempt)
            continue;
        if (known(endpoint)) {
            entry.delay = initialDelay;
            entry.nextAttempt = now + initialDelay;
            continue;
        }
        endpoints.push_back(endpoint);
        entry.nextAttempt = now + entry.delay;
        entry.delay = std::min<Duration>(entry.delay * 2, maxDelay);
    }
    return endpoints;
}

} // namespace jy
