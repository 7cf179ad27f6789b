#pragma once

#include "jy_core/model/BackendServer.h"
#include "jy_core/model/DesiredState.h"
#include "jy_core/versions/MoveTable.h"

#include <vector>

namespace jy {

/** An order for an engine to load a version. It is idempotent. */
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
 * Returns the orders that make empty engines load the version that the moves in force require.
 *
 * Only engines without a version get an order. Operators start additional engines for a new
 * version, and an engine that serves chats is never reloaded.
 */
std::vector<PlannedOrder> planOrders(const DesiredState &state, const MoveTable &moveTable,
                                     const std::vector<BackendServer> &servers);

} // namespace jy
