#include "jy_router/caller/AttemptLoop.h"

#include "jy_router/caller/RequestContext.h"

#include <algorithm>
#include <utility>

namespace jy {

using Clock = std::chrono::steady_clock;

namespace {

// Refusals after which waiting in a queue may help.
bool isLackOfRoom(ErrorKind kind)
{
    return kind == ErrorKind::Overloaded || kind == ErrorKind::OverBound || kind == ErrorKind::Cold;
}

} // namespace

std::optional<Error> AttemptLoop::run(const AttemptPlan &plan, const Send &send)
{
    const auto count = std::min(plan.servers.size(), settings_.maxServers);
    for (std::size_t i = 0; i < count; ++i) {
        const ReserveCall call{.context = plan.context,
                               .server = plan.servers[i],
                               .route = plan.route,
                               .displaced = i > 0,
                               .retry = sent_.has_value()};
        const auto step = attempt(plan, call, send);
        if (step == Step::Finished)
            return std::nullopt;
        if (step == Step::Stop)
            return finalError();
    }
    if (!sent_ && refused_ && isLackOfRoom(refused_->kind)) {
        const ReserveCall call{.context = plan.context,
                               .server = plan.servers.front(),
                               .route = plan.route,
                               .lastResort = true};
        if (attempt(plan, call, send) == Step::Finished)
            return std::nullopt;
    }
    return finalError();
}

AttemptLoop::Step AttemptLoop::attempt(const AttemptPlan &plan, const ReserveCall &call,
                                       const Send &send)
{
    if (stopReason(plan) == Step::Stop)
        return Step::Stop;
    auto reservation = dependencies_.reserve(call);
    if (!reservation) {
        refused_ = reservation.error();
        return stopReason(plan);
    }
    // The place may have been granted after a wait in the queue.
    if (stopReason(plan) == Step::Stop) {
        dependencies_.release(reservation.value(), {.hasSample = false});
        return Step::Stop;
    }
    // Checked only now, so that a refusal does not consume the budget.
    if (sent_ && !dependencies_.tryRetry()) {
        dependencies_.release(reservation.value(), {.hasSample = false});
        return Step::Stop;
    }
    if (!std::exchange(firstAttemptCounted_, true))
        dependencies_.recordFirstAttempt();
    const auto started = Clock::now();
    auto result = send(reservation.value().server);
    result.outcome.total =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started);
    if (result.error) {
        result.outcome.error = result.error->kind;
        result.outcome.hasSample = result.error->kind != ErrorKind::Cancelled;
    }
    dependencies_.release(reservation.value(), result.outcome);
    answered_ = answered_ || result.answered;
    if (!result.error || !isNotRun(result.error->kind))
        ++attempts_;
    return result.error ? fail(plan, *result.error) : Step::Finished;
}

AttemptLoop::Step AttemptLoop::stopReason(const AttemptPlan &plan)
{
    if (plan.cancellation && plan.cancellation->cancelled()) {
        sent_ = Error{ErrorKind::Cancelled, "the caller disconnected"};
        return Step::Stop;
    }
    if (timeLeft(plan.context.deadline, Clock::now()).count() > 0)
        return Step::NextServer;
    if (!sent_ && !refused_)
        refused_ = Error{ErrorKind::Overloaded, "no place became free before the deadline"};
    return Step::Stop;
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
