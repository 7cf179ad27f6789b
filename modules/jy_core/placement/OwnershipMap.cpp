#include "jy_core/placement/OwnershipMap.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

namespace {

using Ranked = std::vector<std::pair<std::uint64_t, const LiveRouter *>>;

bool takesCallers(const LiveRouter &router, const DesiredState &state)
{
    if (router.leaving)
        return false;
    const auto domain = state.domains.find(router.domain);
    // A router whose domain the desired state does not name still answers callers: it may be
    // starting, with the first desired state not yet adopted.
    return domain == state.domains.end() || domain->second.state != DomainState::Out;
}

void sortByScore(Ranked &ranked)
{
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
}

} // namespace

bool OwnershipMap::setLiveRouters(std::vector<LiveRouter> routers)
{
    std::sort(routers.begin(), routers.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    if (routers == routers_)
        return false;
    routers_ = std::move(routers);
    cache_.clear();
    return true;
}

const InstanceId &OwnershipMap::owner(const ServerId &server, const RegionId &region) const
{
    const auto found = cache_.find(server);
    if (found != cache_.end())
        return found->second;
    return cache_.emplace(server, ownerWithout(server, region, InstanceId{})).first->second;
}

InstanceId OwnershipMap::ownerWithout(const ServerId &server, const RegionId &region,
                                      const InstanceId &without) const
{
    const auto serverHash = stableHash(server.value());
    const LiveRouter *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &router : routers_) {
        if (router.leaving || router.region != region || router.id == without)
            continue;
        const auto score = rendezvousScore(serverHash, router.id.value());
        if (best == nullptr || score > bestScore) {
            best = &router;
            bestScore = score;
        }
    }
    return best == nullptr ? InstanceId{} : best->id;
}

std::vector<InstanceId> OwnershipMap::lookupOrder(const ServerId &server, const RegionId &region,
                                                  const DesiredState &state,
                                                  std::size_t maxCount) const
{
    const auto serverHash = stableHash(server.value());
    Ranked own;
    Ranked other;
    for (const auto &router : routers_) {
        if (!takesCallers(router, state))
            continue;
        auto &list = router.region == region ? own : other;
        list.emplace_back(rendezvousScore(serverHash, router.id.value()), &router);
    }
    auto &ranked = own.empty() ? other : own;
    sortByScore(ranked);
    const auto count = std::min(maxCount, ranked.size());
    if (count >= 2) {
        const auto first = ranked.begin();
        const auto end = first + static_cast<std::ptrdiff_t>(count);
        const auto elsewhere = std::find_if(first + 1, ranked.end(), [&](const auto &entry) {
            return entry.second->domain != first->second->domain;
        });
        if (elsewhere != ranked.end() && elsewhere >= end)
            std::iter_swap(elsewhere, end - 1);
    }
    std::vector<InstanceId> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(ranked[i].second->id);
    return result;
}

} // namespace jy
