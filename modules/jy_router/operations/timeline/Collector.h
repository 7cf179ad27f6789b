#pragma once

#include "jy_router/operations/client/OperatorClient.h"
#include "jy_router/operations/timeline/Timeline.h"
#include "jy_runtime/events/EventBuffer.h"

#include <vector>

namespace jy {

/**
 * Collects the events of all live routers.
 *
 * The first seed that answers names the routers; each of them is then asked in a fiber of its own.
 *
 * @returns one entry per live router, with the error of those that did not answer; an error when no
 *          seed answers
 */
Result<std::vector<ProcessEvents>> collectEvents(OperatorClient &client,
                                                 const std::vector<Endpoint> &seeds,
                                                 const EventFilter &filter);

} // namespace jy
