#pragma once

#include "jy_router/operations/FleetStatus.h"
#include "jy_runtime/events/EventBuffer.h"
#include "jy_runtime/metrics/Metrics.h"

#include <functional>

namespace jy {

/**
 * Sets the gauges that describe the fleet as one router sees it. Series of servers, domains and
 * moves that are gone disappear, so that alerts on them end.
 */
void updateStatusMetrics(Metrics &metrics, const FleetStatus &status, const EventBuffer &events);

/** Calls updateStatusMetrics() before each output of the metrics; the arguments must outlive it. */
void collectStatusMetrics(Metrics &metrics, std::function<FleetStatus()> status,
                          const EventBuffer &events);

} // namespace jy
