#pragma once

#include "jy_peer/rpc/PeerHandlers.h"
#include "jy_router/assembly/RouterContext.h"

namespace jy {

/** The answers of this router to the calls of its peers. @param context must outlive them */
PeerHandlers peerHandlers(RouterContext &context);

/** Creates the move driver and its connections to peers, the KV service and membership. */
std::unique_ptr<MoveDriver> createMoveDriver(RouterContext &context);

/** Creates the order driver. */
std::unique_ptr<OrderDriver> createOrderDriver(RouterContext &context);

/** Exchanges stop marks and move records with a peer whose digest differs. */
void exchangeMoves(RouterContext &context, const MemberInfo &peer);

} // namespace jy
