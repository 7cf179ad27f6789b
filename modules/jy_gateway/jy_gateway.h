#pragma once

/**
 * jy_gateway: the request path on a platform with a shared store. Routes requests by host and path,
 * chooses backend servers, relays responses, and tracks the state of the fleet. The formats of the
 * platform are provided by an adapter; see PlatformAdapter.
 */

#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/assembly/Gateway.h"
#include "jy_gateway/limits/ColdAllowance.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_gateway/model/RoutingConfig.h"
#include "jy_gateway/peers/HeartbeatCodec.h"
#include "jy_gateway/peers/HeartbeatSchedule.h"
#include "jy_gateway/peers/PeerGroups.h"
#include "jy_gateway/peers/PeerTable.h"
#include "jy_gateway/placement/AddressSampler.h"
#include "jy_gateway/placement/LoadTable.h"
#include "jy_gateway/placement/PromptAffinity.h"
#include "jy_gateway/placement/PromptCacheIndex.h"
#include "jy_gateway/placement/ServerBackoff.h"
#include "jy_gateway/placement/ServerChooser.h"
#include "jy_gateway/placement/ServerHealth.h"
#include "jy_gateway/placement/StallDetector.h"
#include "jy_gateway/registry/FleetView.h"
#include "jy_gateway/registry/InstanceEntry.h"
#include "jy_gateway/registry/Registration.h"
#include "jy_gateway/registry/StoreCopy.h"
#include "jy_gateway/registry/StoreMirror.h"
#include "jy_gateway/registry/StoreSync.h"
#include "jy_gateway/relay/EventSplitter.h"
#include "jy_gateway/relay/RequestRelay.h"
#include "jy_gateway/relay/ResponseRules.h"
#include "jy_gateway/settings/GatewaySettings.h"
