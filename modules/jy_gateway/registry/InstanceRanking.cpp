#include "jy_gateway/registry/InstanceRanking.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

void sortByRank(std::string_view key, std::vector<RegisteredInstance> &instances)
{
    const auto hash = stableHash(key);
    std::ranges::sort(instances, std::ranges::greater(), [&](const RegisteredInstance &instance) {
        return rendezvousScore(hash, instance.id.value());
    });
}

std::vector<RegisteredInstance>
widestInstances(std::string_view purpose, std::vector<RegisteredInstance> live, std::size_t count)
{
    sortByRank(purpose, live);
    std::ranges::stable_sort(live, std::ranges::greater(), &RegisteredInstance::linkMbps);
    live.resize(std::min(live.size(), count));
    return live;
}

} // namespace jy
