#pragma once

/**
 * jy_platform: one adapter for each outside system: engines, KV service, instance list and weight
 * store. Another wire format changes one adapter and nothing else.
 */

#include "jy_platform/consul/ConsulApi.h"
#include "jy_platform/engine/ChatStream.h"
#include "jy_platform/engine/EngineClient.h"
#include "jy_platform/engine/EngineTypes.h"
#include "jy_platform/instances/InstanceList.h"
#include "jy_platform/kv/CallRateLimit.h"
#include "jy_platform/kv/KvClient.h"
#include "jy_platform/weights/WeightStore.h"
