#pragma once

#include "jy_router/caller/CallerDependencies.h"

namespace jy {

/**
 * Reads the headers X-Workspace, X-Chat-Id, X-Request-Id, X-Deadline-Ms and X-Priority.
 *
 * @returns BadRequest for a missing workspace, a repeated or malformed header;
 *          DeadlineTooShort for a deadline that has passed
 */
Result<CallContext> readContext(const HttpRequest &request, const CallerSettings &settings,
                                const std::function<RequestId()> &newRequestId, TimePoint now);

/** Time left to a deadline, zero if it has passed. */
std::chrono::milliseconds timeLeft(TimePoint deadline, TimePoint now);

/** Whether @p kind is certain not to have run. */
bool isNotRun(ErrorKind kind);

} // namespace jy
