#pragma once

#include "jy_gateway/placement/ServerChooser.h"
#include "jy_runtime/metrics/Metrics.h"

namespace jy {

/** Counts a placement by its reason, and the copy of a prompt prefix that it orders or avoids. */
void countPlacement(Metrics &metrics, const ServiceId &service, const Placement &placement);

} // namespace jy
