// The part of RelayExchange that replaces silent servers.

#include "jy_gateway/relay/RelayExchange.h"
#include "jy_runtime/logging/Log.h"

#include <absl/cleanup/cleanup.h>

#include <mutex>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

bool RelayExchange::startSuccessor()
{
    if (!current_ || current_->replaced || current_->cancellation->cancelled())
        return false;
    if (writing_ || successor_)
        return true;
    if (!hasRoomForRetry())
        return true;
    const auto obstacle = retry_.reserve(retryState(false, mayRunAgain()), true);
    if (obstacle != RetryObstacle::None) {
        extraPlace_.reset();
        if (!std::exchange(current_->keptLogged, true))
            logSilence("attempt-kept", toString(obstacle));
        return obstacle == RetryObstacle::BudgetSpent || obstacle == RetryObstacle::NoServer;
    }
    successor_ = makeAttempt(retry_.take());
    successor_->ownFiber = true;
    logSilence("attempt-added", toString(obstacle));
    ++successorFibers_;
    // A fiber of its own, as this may be called by a handler or by the stall detector.
    EventLoop::spawn([this, attempt = successor_] {
        const auto ended = absl::MakeCleanup([&] {
            const std::lock_guard lock(successorMutex_);
            // An exception must not leave follow() waiting.
            if (!attempt->opened)
                attempt->opened.emplace(failure(ErrorKind::Internal, "the attempt has failed"));
            --successorFibers_;
            successorChanged_.notify_all();
        });
        open(*attempt);
        successorOpened(attempt);
    });
    return true;
}

void RelayExchange::successorOpened(const std::shared_ptr<RelayAttempt> &attempt)
{
    // The current attempt has ended, and follow() waits for this one.
    if (current_ == attempt)
        return;
    const auto &opened = *attempt->opened;
    if (!attempt->reachedServer())
        relay_.budgetFor(query_.service).returnRetry(attempt->retryGranted);
    if (successor_ != attempt)
        return end(*attempt);
    if (opened && !evaluateHead(*attempt, *opened.value())
        && attempt->responseClass == ResponseClass::Deliver) {
        logSilence("attempt-moved", toString(RetryObstacle::None));
        current_->replaced = true;
        current_->cancellation->cancel();
        return;
    }
    if (!opened) {
        if (opened.error().kind == ErrorKind::BackendBroken)
            noteBroken(*attempt, BreakPoint::BeforeHead);
        fail(*attempt, opened.error());
    } else if (attempt->responseClass == ResponseClass::Failed) {
        fail(*attempt, {ErrorKind::BackendFailed, "the backend server failed", {}});
    }
    successor_.reset();
    end(*attempt);
    extraPlace_.reset();
    startSuccessor();
}

void RelayExchange::dropSuccessor()
{
    const auto dropped = std::exchange(successor_, nullptr);
    if (!dropped)
        return;
    extraPlace_.reset();
    dropped->cancellation->cancel();
    // Otherwise its fiber ends it.
    if (dropped->opened)
        end(*dropped);
}

void RelayExchange::awaitOpened(const RelayAttempt &attempt)
{
    std::unique_lock lock(successorMutex_);
    successorChanged_.wait(lock, [&] { return attempt.opened.has_value(); });
}

void RelayExchange::awaitSuccessorFibers()
{
    std::unique_lock lock(successorMutex_);
    successorChanged_.wait(lock, [this] { return successorFibers_ == 0; });
}

void RelayExchange::logSilence(std::string_view event, std::string_view obstacle)
{
    const auto now = Clock::now();
    if (!relay_.failedLines_.allow(now))
        return;
    logEvent(LogLevel::Info, event,
             {{"request", metadata_.id},
              {"server", current_->placement.server},
              {"to", successor_ ? successor_->placement.server : ServerId()},
              {"attempt", current_->number},
              {"patience_ms", current_->silenceTimeout},
              {"waited_ms", now - current_->start},
              {"silent_ms", now - silenceTimer_.lastProgress()},
              {"time_left_ms", timeLeft()},
              {"obstacle", obstacle}});
}

} // namespace jy
