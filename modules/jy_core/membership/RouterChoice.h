#pragma once

#include "jy_core/membership/MembershipMessages.h"

#include <string_view>
#include <vector>

namespace jy {

/** Number of routers per region that watch the configuration head in the KV service. */
constexpr std::size_t configWatchersPerRegion = 2;

/**
 * Returns the routers with the highest rendezvous hashing scores for a key, highest first.
 *
 * @param routers candidates in any order
 * @param count maximum number of routers to return
 */
std::vector<InstanceId> chooseRouters(std::string_view key, const std::vector<MemberInfo> &routers,
                                      std::size_t count);

/** @returns the name of a pool, "model@region". */
std::string poolName(const ModelId &model, const RegionId &region);

} // namespace jy
