#include "jy_core/limits/AdmissionQueue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jy {

namespace {

int urgencyOf(int priority)
{
    return -std::max(priority, -std::numeric_limits<int>::max());
}

} // namespace

AdmissionQueue::AdmissionQueue(Limits limits, std::function<double()> draw, double phase)
    : draw_(std::move(draw))
    , share_(phase)
    , queue_(limits.maxWaiting, limits.maxWaitingBytes)
{ }

Duration AdmissionQueue::longestWait(const AdmissionRequest &request, TimePoint now) const
{
    const auto spare = request.latencyTarget - request.expectedStart;
    const auto wait = share_.overloaded(now) ? std::chrono::duration_cast<Duration>(
                          std::max(waitFraction * spare, minWaitFraction * request.latencyTarget))
                                             : request.latencyTarget;
    return std::min(wait, request.deadline - request.expectedStart - now);
}

TimePoint AdmissionQueue::precedence(const AdmissionRequest &request, Duration wait, TimePoint now)
{
    // A retried request has less time left, and so precedes new ones with the same wait.
    const std::chrono::duration<double> left = std::max(wait, request.deadline - now);
    const std::chrono::duration<double> limit = wait;
    const double factor = left.count() > 0 ? left / (left + limit) : 0;
    return now + std::chrono::duration_cast<Duration>(factor * wait);
}

std::vector<AdmissionDecision> AdmissionQueue::enter(const AdmissionRequest &request, TimePoint now)
{
    share_.requestArrived(now);
    std::vector<AdmissionDecision> decisions;
    // Places become free with time, too; requests that get one are not ahead of this one.
    admitWaiting(now, decisions);
    if (queue_.empty() && share_.available(now)) {
        if (!share_.contended(now))
            returns_.reset();
        take(request.workspace, now);
        decisions.push_back({request.ticket, std::nullopt});
        return decisions;
    }
    const auto wait = longestWait(request, now);
    const auto pushed = queue_.push({.ticket = request.ticket,
                                     .workspace = request.workspace,
                                     .weight = request.weight,
                                     .urgency = urgencyOf(request.priority),
                                     .deadline = now + wait,
                                     .precedence = precedence(request, wait, now),
                                     .bytes = countedBytes(request.bytes)},
                                    inFlight_, share_.placeInterval(), now);
    if (!pushed) {
        decisions.push_back(refuse(request.ticket, now));
        return decisions;
    }
    for (const auto &removed : pushed.value())
        decisions.push_back(refuse(removed.ticket, now));
    for (const auto &removed : queue_.removeHopeless(inFlight_, share_.placeInterval(), now))
        decisions.push_back(refuse(removed.ticket, now));
    return decisions;
}

std::size_t AdmissionQueue::countedBytes(std::size_t bytes)
{
    meanBytes_ += meanBytesWeight * (static_cast<double>(bytes) - meanBytes_);
    return std::max(bytes, static_cast<std::size_t>(meanBytes_));
}

void AdmissionQueue::leave(std::uint64_t ticket)
{
    queue_.cancel(ticket);
}

std::vector<AdmissionDecision> AdmissionQueue::finish(const WorkspaceId &workspace,
                                                      Duration atServers, TimePoint now)
{
    share_.requestFinished(atServers, now);
    inFlight_.finish(workspace);
    return advance(now);
}

std::vector<AdmissionDecision> AdmissionQueue::advance(TimePoint now)
{
    std::vector<AdmissionDecision> decisions;
    admitWaiting(now, decisions);
    for (const auto &expired : queue_.expire(now))
        decisions.push_back(refuse(expired.ticket, now));
    return decisions;
}

std::optional<TimePoint> AdmissionQueue::nextAt(TimePoint now) const
{
    const auto deadline = queue_.nextDeadline();
    if (!deadline)
        return std::nullopt;
    return std::min(*deadline, share_.nextAt(now).value_or(*deadline));
}

bool AdmissionQueue::mayRetry(int priority) const
{
    return queue_.countFrom(urgencyOf(priority)) == 0;
}

bool AdmissionQueue::tryExtra(const WorkspaceId &workspace, TimePoint now)
{
    if (!queue_.empty() || !share_.available(now))
        return false;
    take(workspace, now);
    return true;
}

void AdmissionQueue::take(const WorkspaceId &workspace, TimePoint now)
{
    share_.requestStarted(now);
    inFlight_.start(workspace);
}

std::chrono::milliseconds AdmissionQueue::returnAfter(TimePoint now)
{
    return returns_.next(share_.placeInterval(), draw_(), now);
}

AdmissionDecision AdmissionQueue::refuse(std::uint64_t ticket, TimePoint now)
{
    return {ticket, Error{ErrorKind::Overloaded, "no-room", returnAfter(now)}};
}

void AdmissionQueue::admitWaiting(TimePoint now, std::vector<AdmissionDecision> &decisions)
{
    while (!queue_.empty() && share_.available(now)) {
        const auto entry = queue_.pop(inFlight_);
        take(entry->workspace, now);
        decisions.push_back({entry->ticket, std::nullopt});
    }
}

} // namespace jy
