#pragma once

#include "jy_core/model/BackendServer.h"
#include "jy_core/model/DesiredState.h"
#include "jy_core/versions/MoveTable.h"

#include <vector>

namespace jy {

/** The state that an engine should be brought to; sending it twice changes nothing. */
struct PlannedOrder
{
    ServerId server;
    ModelId model;
    VersionId version;
    std::uint64_t weightBytes = 0;
    bool checksFencing = true;

    bool operator==(const PlannedOrder &) const = default;
};

/**
 * Orders that bring empty engines to the version that the moves in force ask for.
 *
 * Only engines without a version are ordered to load: operators start engines for a new version
 * beside the old ones, and an engine that serves is never reloaded under its chats.
 */
std::vector<PlannedOrder> planOrders(const DesiredState &state, const MoveTable &moveTable,
                                     const std::vector<BackendServer> &servers);

} // namespace jy
