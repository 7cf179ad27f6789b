#include "jy_core/placement/OwnershipMap.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

namespace {

using ScoredRouters = std::vector<std::pair<std::uint64_t, const LiveRouter *>>;

bool acceptsCallers(const LiveRouter &router, const DesiredState &state)
{
    if (router.leaving)
        return false;
    const auto domain = state.domains.find(router.domain);
    // A router whose domain is missing from the desired state still serves callers: this router may
    // be starting and not have adopted its first desired state.
    return domain == state.domains.end() || domain->second.state != DomainState::Out;
}

void sortByScore(ScoredRouters &ranked)
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
    ScoredRouters sameRegion;
    ScoredRouters otherRegions;
    for (const auto &router : routers_) {
        if (!acceptsCallers(router, state))
            continue;
        auto &list = router.region == region ? sameRegion : otherRegions;
        list.emplace_back(rendezvousScore(serverHash, router.id.value()), &router);
    }
    auto &ranked = sameRegion.empty() ? otherRegions : sameRegion;
    sortByScore(ranked);
    const auto count = std::min(maxCount, ranked.size());
    if (count >= 2) {
        const auto first = ranked.begin();
        const auto end = first + static_cast<std::ptrdiff_t>(count);
        const auto otherDomain = std::find_if(first + 1, ranked.end(), [&](const auto &entry) {
            return entry.second->domain != first->second->domain;
        });
        if (otherDomain != ranked.end() && otherDomain >= end)
            std::iter_swap(otherDomain, end - 1);
    }
    std::vector<InstanceId> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(ranked[i].second->id);
    return result;
}

} // namespace jy
