#pragma once

#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/placement/ServerChooser.h"

#include <chrono>

namespace jy {

/** What the head of a backend server's response means for the request. */
enum class ResponseClass {
    Deliver, /**< can be delivered unchanged */
    NotRun, /**< the server states that it did not run the request */
    Failed, /**< the server ran the request and failed */
    Unusable, /**< must not reach the caller; the request may have run */
};

/**
 * Classifies a response by its head.
 *
 * A refusal must name the request: a faulty server may write an earlier one once more on a
 * connection that is in use again.
 *
 * A success is valid only with the server's seal and in the encoding that was asked for. Statuses
 * that callers take to mean "not run" are delivered only if the server states that explicitly.
 */
ResponseClass classifyResponse(int status, const ResponseMetadata &metadata,
                               const RequestId &request);

/** Retry-After time for a refused caller, by the reason of the refusal. */
std::chrono::milliseconds retryAfter(PlacementReason reason);

} // namespace jy
