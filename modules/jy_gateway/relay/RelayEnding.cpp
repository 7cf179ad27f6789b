// How RelayExchange ends a request that no server answers; the rest is in RelayExchange.cpp.

#include "jy_base/errors/ErrorTable.h"
#include "jy_gateway/relay/AnswerRules.h"
#include "jy_gateway/relay/RelayExchange.h"

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int unavailableStatus = 503;

} // namespace

void RelayExchange::refuse(PlacementReason reason)
{
    if (outcome_.attempts > 0) {
        giveUp();
        return;
    }
    const auto kind = reason == PlacementReason::AllCold ? ErrorKind::Cold : ErrorKind::NoCapacity;
    answerError({kind, std::string(toString(reason)), retryAfter(reason)});
}

void RelayExchange::giveUp()
{
    if (!serverFailure_ || responder_.started()) {
        answerError(lastError_);
        return;
    }
    outcome_.status = serverFailure_->status;
    outcome_.reason = "server-failure";
    responder_.send(*serverFailure_);
}

void RelayExchange::answerError(const Error &error)
{
    if (outcome_.reason.empty())
        outcome_.reason = error.message;
    // The caller sees a stream that breaks off; nothing else may follow its head.
    if (responder_.started())
        return;
    auto answered = error;
    if (mayHaveRun_) {
        if (answerFor(error.kind).effect == Effect::NotRun)
            answered.kind = ErrorKind::BackendBroken;
        answered.retryAfter = {};
    } else {
        // Nothing was sent, or the servers stated that nothing ran: callers may return.
        if (answerFor(error.kind).httpStatus != unavailableStatus)
            answered.kind = ErrorKind::NoCapacity;
        if (answered.retryAfter.count() == 0)
            answered.retryAfter = retryAfter(PlacementReason::NoServer);
        const auto now = Clock::now();
        if (const auto until = relay_.dependencies_.chooser.allBackingOffUntil(query_.service, now))
            answered.retryAfter = std::chrono::ceil<milliseconds>(*until - now);
    }
    auto response = errorResponse(answered, metadata_.id.value());
    if (answered.retryAfter.count() > 0)
        relay_.dependencies_.protocol.setRetryAfter(response.headers, answered.retryAfter);
    outcome_.status = response.status;
    responder_.send(response);
}

} // namespace jy
