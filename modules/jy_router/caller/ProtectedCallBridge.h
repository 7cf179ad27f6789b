#pragma once

#include "jy_router/caller/CallerDependencies.h"
#include "jy_router/protected/ProtectedCallDriver.h"

namespace jy {

/** Runs one protected call by a driver; the `protectedCall` hook of CallerDependencies. */
Result<HttpResponse> callOnce(ProtectedCallDriver &driver, const ProtectedCallInput &input,
                              const std::function<Result<HttpResponse>()> &send);

/**
 * Translates the result of one send.
 *
 * NotSent is stated only for errors whose effect is NotRun, because the driver then withdraws the
 * claim and the call may run again.
 */
ProtectedSendResult toSendResult(const Result<HttpResponse> &result);

} // namespace jy
