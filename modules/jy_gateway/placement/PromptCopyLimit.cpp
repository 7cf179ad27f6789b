#include "jy_gateway/placement/PromptCopyLimit.h"

#include <algorithm>

namespace jy {

void PromptCopyLimit::recordUse(std::uint64_t affinity, const ServerId &server, TimePoint now)
{
    if (uses_.size() >= maxPrompts && !uses_.contains(affinity)) {
        std::erase_if(uses_, [&](const auto &use) { return now - use.second.last > useLifetime; });
        // Dropping all keeps the cost of a request constant on average if none has expired.
        if (uses_.size() >= maxPrompts)
            uses_.clear();
    }
    auto &use = uses_[affinity];
    if (now - use.last > useLifetime)
        use.count = 0;
    ++use.count;
    use.last = now;
    use.server = server;
}

bool PromptCopyLimit::isShared(std::uint64_t affinity, std::size_t holders, TimePoint now) const
{
    const auto found = uses_.find(affinity);
    const bool recent = found != uses_.end() && now - found->second.last <= useLifetime;
    return std::max(recent ? found->second.count : 0, holders) >= minEarlierUses;
}

ServerId PromptCopyLimit::pendingServer(std::uint64_t affinity, TimePoint now) const
{
    const auto found = uses_.find(affinity);
    if (found == uses_.end() || now - found->second.last > pendingLifetime)
        return {};
    return found->second.server;
}

bool PromptCopyLimit::mayCopyFrom(const ServerId &source, TimePoint now) const
{
    const auto found = copyEnds_.find(source);
    if (found == copyEnds_.end())
        return true;
    const auto underWay =
        std::ranges::count_if(found->second, [&](TimePoint end) { return end > now; });
    return static_cast<std::size_t>(underWay) < maxCopiesPerSource;
}

void PromptCopyLimit::copyStarted(const ServerId &source, TimePoint end, TimePoint now)
{
    for (auto &[server, ends] : copyEnds_)
        std::erase_if(ends, [&](TimePoint other) { return other <= now; });
    std::erase_if(copyEnds_, [](const auto &entry) { return entry.second.empty(); });
    copyEnds_[source].push_back(end);
}

} // namespace jy
