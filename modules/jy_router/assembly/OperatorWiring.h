#pragma once

#include "jy_router/assembly/RouterContext.h"
#include "jy_router/operations/OperatorApi.h"

namespace jy {

/**
 * Connects the operator API to the state of the router.
 *
 * @param context must outlive the returned hooks
 */
OperatorApi::Dependencies operatorDependencies(RouterContext &context, OperatorKeys &keys);

} // namespace jy
