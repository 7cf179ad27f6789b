#include "jy_router/caller/AttemptLoop.h"

#include "jy_router/caller/RequestContext.h"

#include <algorithm>
#include <utility>

namespace jy {

using Clock = std::chrono::steady_clock;

std::optional<Error> AttemptLoop::run(const AttemptPlan &plan, const Send &send)
{
    PlaceCall call{.context = plan.context, .servers = plan.servers, .route = plan.route};
    for (std::size_t i = 0; i < settings_.maxServers && !call.servers.empty(); ++i) {
        const auto step = attempt(plan, call, send);
        if (step == Step::Finished)
            return std::nullopt;
        if (step == Step::Stop)
            break;
        ++call.failedAttempts;
    }
    return finalError();
}

AttemptLoop::Step AttemptLoop::attempt(const AttemptPlan &plan, PlaceCall &call, const Send &send)
{
    if (mustStop(plan))
        return Step::Stop;
    const auto place = dependencies_.place(call);
    if (!place) {
        refused_ = place.error();
        return Step::Stop;
    }
    const auto &reservation = place.value();
    std::erase_if(call.servers,
                  [&](const BackendServer &server) { return server.id == reservation.server.id; });
    // The place may have been granted after a wait in the queue. The budget is asked only now, so
    // that a refusal does not consume it.
    if (mustStop(plan) || !mayRetry()) {
        dependencies_.release(reservation, {.hasSample = false});
        return Step::Stop;
    }
    const auto started = Clock::now();
    auto result = send(reservation.server);
    result.outcome.total =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started);
    if (result.error) {
        result.outcome.error = result.error->kind;
        result.outcome.hasSample = result.error->kind != ErrorKind::Cancelled;
    }
    dependencies_.release(reservation, result.outcome);
    answered_ = answered_ || result.answered;
    if (!result.error || !isNotRun(result.error->kind))
        ++attempts_;
    return result.error ? fail(plan, *result.error) : Step::Finished;
}

bool AttemptLoop::mustStop(const AttemptPlan &plan)
{
    if (plan.cancellation && plan.cancellation->cancelled()) {
        sent_ = Error{ErrorKind::Cancelled, "the caller disconnected"};
        return true;
    }
    if (timeLeft(plan.context.deadline, Clock::now()).count() > 0)
        return false;
    if (!sent_ && !refused_)
        refused_ = Error{ErrorKind::Overloaded, "no place became free before the deadline"};
    return true;
}

bool AttemptLoop::mayRetry()
{
    if (!std::exchange(firstAttemptCounted_, true))
        dependencies_.recordFirstAttempt();
    return !sent_ || dependencies_.tryRetry();
}

AttemptLoop::Step AttemptLoop::fail(const AttemptPlan &plan, const Error &error)
{
    if (isNotRun(error.kind)) {
        refused_ = error;
        return answered_ ? Step::Stop : Step::NextServer;
    }
    sent_ = error;
    const bool mayHelp =
        error.kind == ErrorKind::BackendBroken || error.kind == ErrorKind::BackendFailed;
    return plan.idempotent && mayHelp && !answered_ ? Step::NextServer : Step::Stop;
}

Error AttemptLoop::finalError() const
{
    auto error = sent_ ? *sent_
        : refused_     ? *refused_
                       : Error{ErrorKind::NoCapacity, "no backend server is available"};
    if (error.retryAfter.count() == 0 && refused_)
        error.retryAfter = refused_->retryAfter;
    if (error.retryAfter.count() == 0)
        error.retryAfter = settings_.defaultRetryAfter;
    return error;
}

} // namespace jy
