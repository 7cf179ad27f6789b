#pragma once

/**
 * jy_peer: the protocol between routers: authenticated UDP datagrams for membership and gRPC calls
 * for everything that needs an answer. The wire format is proto/peer.proto.
 */

#include "jy_peer/auth/CallAuthenticator.h"
#include "jy_peer/auth/KeyRing.h"
#include "jy_peer/gossip/DatagramCodec.h"
#include "jy_peer/gossip/GossipSocket.h"
#include "jy_peer/rpc/PeerClient.h"
#include "jy_peer/rpc/PeerHandlers.h"
#include "jy_peer/rpc/PeerServer.h"
