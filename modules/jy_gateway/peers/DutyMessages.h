#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_gateway/duties/UsageMessage.h"
#include "jy_gateway/rollouts/RolloutTraffic.h"

namespace jy {

namespace wire {
class Beat;
}

// The parts of heartbeats that only the instances with a duty or a rollout to judge receive.
// Internal to the codec of heartbeats.

void addUsage(const UsageMessage &usage, wire::Beat &message);

/** @param instance the sender of @p message */
UsageMessage readUsage(const wire::Beat &message, const InstanceId &instance);

void addRollout(const RolloutMessage &rollout, wire::Beat &message);
RolloutMessage readRollout(const wire::Beat &message);

} // namespace jy
