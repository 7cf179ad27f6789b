#pragma once

#include "jy_router/assembly/RouterContext.h"
#include "jy_router/caller/CallerDependencies.h"

namespace jy {

/**
 * Connects the caller interface to placement, reservations and protected calls.
 *
 * @param context must outlive the returned hooks
 */
CallerDependencies callerDependencies(RouterContext &context);

} // namespace jy
