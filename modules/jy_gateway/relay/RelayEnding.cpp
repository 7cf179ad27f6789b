// The part of RelayExchange that retries or ends requests without a usable response.

#include "jy_base/errors/ErrorTable.h"
#include "jy_gateway/relay/RelayExchange.h"
#include "jy_gateway/relay/ResponseRules.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int unavailableStatus = 503;

} // namespace

bool RelayExchange::awaitPlace()
{
    auto *admission = relay_.dependencies_.admission;
    if (!admission)
        return true;
    auto place = admission->admit({.service = query_.service,
                                   .route = route_.name,
                                   .workspace = workspace_,
                                   .priority = priority_,
                                   .latencyTarget = route_.latencyTarget,
                                   .deadline = deadline_,
                                   .bytes = request_.body.size()},
                                  responder_.cancellation());
    outcome_.waited = Clock::now() - start_;
    if (place) {
        place_ = std::move(place.value());
        return true;
    }
    if (place.error().kind == ErrorKind::Cancelled)
        outcome_.reason = "caller-gone";
    else
        sendError(place.error());
    return false;
}

bool RelayExchange::takeExtraPlace()
{
    auto *admission = relay_.dependencies_.admission;
    if (!admission || extraPlace_)
        return true;
    extraPlace_ = admission->tryExtra(query_.service, workspace_);
    return extraPlace_.has_value();
}

bool RelayExchange::hasRoomForRetry() const
{
    // Further servers of a service that has too little room would most likely refuse, too.
    constexpr int maxFullServers = 2;
    const auto *admission = relay_.dependencies_.admission;
    const auto now = Clock::now();
    // A stream that has begun is continued: its caller is already being served.
    if (!admission || responder_.started() || !admission->contended(query_.service, now))
        return true;
    return fullServers_ < maxFullServers && admission->mayRetry(query_.service, priority_, now);
}

RetryReservation::Hooks RelayExchange::retryHooks()
{
    return {.takeBudget =
                [this] {
                    retryGranted_ = Clock::now();
                    return relay_.budgetFor(query_.service).tryRetry(retryGranted_);
                },
            .returnBudget = [this] { relay_.budgetFor(query_.service).returnRetry(retryGranted_); },
            .place =
                [this](bool responsiveOnly) {
                    if (relay_.dependencies_.quarantine.check(keys_, Clock::now()))
                        return Placement{};
                    query_.responsiveOnly = responsiveOnly;
                    // Such an attempt runs beside the current one.
                    if (responsiveOnly && !takeExtraPlace())
                        return Placement{};
                    auto placement = place();
                    if (!placement.server.empty())
                        relay_.dependencies_.loads.requestStarted(placement.server);
                    return placement;
                },
            .releasePlace =
                [this](const ServerId &server) {
                    relay_.dependencies_.loads.requestFinished(server, false);
                }};
}

RetryState RelayExchange::retryState(bool unsent, bool repeatable) const
{
    return {.repeatable = repeatable,
            .unsent = unsent,
            .sentTo = sentTo_ + opening_,
            .maxAttempts = route_.maxAttempts,
            .serversTried = outcome_.attempts,
            .timeLeft = timeLeft()};
}

bool RelayExchange::mayRunAgain() const
{
    return (isResumable() && !unbufferedStarted_) || (route_.repeatable() && !responder_.started());
}

bool RelayExchange::mayTryAgain(Step step)
{
    if (step != Step::NotSent && !hasRoomForRetry())
        return false;
    const bool repeatable = step == Step::NotRun || mayRunAgain();
    const auto obstacle = retry_.reserve(retryState(step == Step::NotSent, repeatable), false);
    if (obstacle == RetryObstacle::BudgetSpent)
        logEvent(LogLevel::Warn, "retry-budget-spent",
                 {{"request", metadata_.id}, {"service", query_.service}});
    return obstacle == RetryObstacle::None;
}

void RelayExchange::refuse(const Placement &placement)
{
    if (outcome_.attempts > 0) {
        giveUp();
        return;
    }
    const auto reason = placement.reason;
    const auto kind = reason == PlacementReason::AllCold ? ErrorKind::Cold : ErrorKind::NoCapacity;
    const bool known = placement.retryAfter.count() > 0;
    sendError(
        {kind, std::string(toString(reason)), known ? placement.retryAfter : retryAfter(reason)});
}

void RelayExchange::refuseQuarantined(milliseconds retryAfter)
{
    if (outcome_.attempts > 0) {
        giveUp();
        return;
    }
    sendError({ErrorKind::PromptQuarantined, "the request or a part of its prompt crashes servers",
               retryAfter});
}

void RelayExchange::giveUp()
{
    if (!serverFailure_ || responder_.started()) {
        sendError(lastError_);
        return;
    }
    outcome_.status = serverFailure_->status;
    outcome_.reason = "server-failure";
    responder_.send(*serverFailure_);
}

void RelayExchange::sendError(const Error &error)
{
    if (outcome_.reason.empty())
        outcome_.reason = error.message;
    // The response head is already sent, so the caller sees the stream break off.
    if (responder_.started())
        return;
    auto reported = error;
    if (mayHaveRun_) {
        if (answerFor(error.kind).effect == Effect::NotRun)
            reported.kind = ErrorKind::BackendBroken;
        reported.retryAfter = {};
    } else {
        // The request did not run, so the caller may retry it.
        if (answerFor(error.kind).httpStatus != unavailableStatus)
            reported.kind = ErrorKind::NoCapacity;
        if (reported.retryAfter.count() == 0)
            reported.retryAfter = retryAfter(PlacementReason::NoServer);
        const auto now = Clock::now();
        if (const auto until = relay_.dependencies_.chooser.allBackingOffUntil(query_.service, now))
            reported.retryAfter = std::chrono::ceil<milliseconds>(*until - now);
    }
    auto response = errorResponse(reported, metadata_.id.value());
    if (reported.retryAfter.count() > 0)
        relay_.dependencies_.protocol.setRetryAfter(response.headers, reported.retryAfter);
    outcome_.status = response.status;
    responder_.send(response);
}

} // namespace jy
