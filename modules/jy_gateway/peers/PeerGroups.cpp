#include "jy_gateway/peers/PeerGroups.h"

#include "jy_base/hashing/StableHash.h"

#include <bit>

namespace jy {

namespace {

// Makes the group independent of other uses of the id's hash.
constexpr std::uint64_t groupSeed = 0x67726F7570;

} // namespace

std::size_t PeerGroups::groupCountFor(std::size_t instances)
{
    if (instances <= maxUngroupedInstances)
        return 1;
    return std::bit_floor(instances / targetGroupSize);
}

std::size_t PeerGroups::groupOf(const InstanceId &id, std::size_t count)
{
    return stableHash(id.value(), groupSeed) % count;
}

std::vector<InstanceId> PeerGroups::reportReceivers(std::size_t rank, std::size_t size,
                                                    const std::vector<InstanceId> &others)
{
    std::vector<InstanceId> result;
    for (std::size_t i = rank; i < others.size(); i += size)
        result.push_back(others[i]);
    return result;
}

} // namespace jy
