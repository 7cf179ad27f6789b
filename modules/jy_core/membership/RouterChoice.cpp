#include "jy_core/membership/RouterChoice.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

std::vector<InstanceId> chooseRouters(std::string_view key, const std::vector<MemberInfo> &routers,
                                      std::size_t count)
{
    const auto keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, InstanceId>> scored;
    scored.reserve(routers.size());
    for (const auto &router : routers)
        scored.emplace_back(rendezvousScore(keyHash, router.id.value()), router.id);
    const auto kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
                      scored.end(), std::greater<>{});
    std::vector<InstanceId> chosen;
    chosen.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        chosen.push_back(std::move(scored[i].second));
    return chosen;
}

std::string poolName(const ModelId &model, const RegionId &region)
{
    return model.value() + '@' + region.value();
}

} // namespace jy
