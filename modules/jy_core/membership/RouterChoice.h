#pragma once

#include "jy_core/membership/MembershipMessages.h"

#include <string_view>
#include <vector>

namespace jy {

/** Routers per region that watch the configuration head in the KV service. */
constexpr std::size_t configWatchersPerRegion = 2;

/** KV key whose rendezvous score chooses the configuration watchers. */
constexpr std::string_view configHeadKey = "jy/config/head";

/**
 * The routers with the highest rendezvous score for a key, best first.
 *
 * @param routers candidates in any order
 * @param count largest number of routers returned
 */
std::vector<InstanceId> chooseRouters(std::string_view key, const std::vector<MemberInfo> &routers,
                                      std::size_t count);

/** Name of a pool: "model@region". */
std::string poolName(const ModelId &model, const RegionId &region);

} // namespace jy
