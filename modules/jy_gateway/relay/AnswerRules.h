#pragma once

#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/placement/ServerChooser.h"

#include <chrono>

namespace jy {

/** What the head of a backend server's answer means for the request. */
enum class AnswerVerdict {
    Deliver, /**< the server's answer, as it is */
    NotRun, /**< the server states that it did not run the request */
    Failed, /**< the server ran the request and failed */
    Unusable, /**< not an answer that a caller may get; the request may have run */
};

/**
 * Judges the head of an answer.
 *
 * A success counts only with the server's seal and in the form that was asked for. Statuses that
 * promise callers that a request has not run are passed on only if the server makes that promise.
 */
AnswerVerdict judgeAnswer(int status, const ResponseMetadata &metadata);

/** Time after which a refused caller finds a place, by what was missing. */
std::chrono::milliseconds retryAfter(PlacementReason reason);

} // namespace jy
