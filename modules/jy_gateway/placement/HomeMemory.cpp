#include "jy_gateway/placement/HomeMemory.h"

namespace jy {

void HomeMemory::remember(std::uint64_t affinity, const ServerId &server, TimePoint now)
{
    if (homes_.size() >= maxEntries && !homes_.contains(affinity)) {
        std::erase_if(homes_,
                      [&](const auto &entry) { return now - entry.second.used > lifetime; });
        if (homes_.size() >= maxEntries)
            return;
    }
    homes_[affinity] = {server, now};
}

ServerId HomeMemory::find(std::uint64_t affinity, TimePoint now) const
{
    const auto found = homes_.find(affinity);
    if (found == homes_.end() || now - found->second.used > lifetime)
        return {};
    return found->second.server;
}

} // namespace jy
