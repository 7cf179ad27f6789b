#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/limits/CapacityShare.h"
#include "jy_core/limits/FairShare.h"
#include "jy_core/limits/RequestQueue.h"
#include "jy_core/limits/ReturnSchedule.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace jy {

/** A request that asks for a place at the servers of a service. */
struct AdmissionRequest
{
    std::uint64_t ticket = 0;
    WorkspaceId workspace;
    double weight = 1;

    /** 0 is the most urgent. */
    int priority = 0;

    /** Expected time at the servers until the response starts; zero if unknown. */
    Duration expectedStart{0};

    /** Time from its arrival within which the caller expects the start of the response. */
    Duration latencyTarget{0};

    /** When the request ends without a response. */
    TimePoint deadline;

    /** Memory that it takes while it waits. */
    std::size_t bytes = 0;
};

/** Outcome for one request; a request without one goes on waiting. */
struct AdmissionDecision
{
    std::uint64_t ticket = 0;

    /** Why the request is refused, with the time after which it may return; nothing if it has got a
     * place. */
    std::optional<Error> refusal;
};

/**
 * Admission of the requests for one service at one instance: who gets a place, who waits for one
 * and who is refused.
 *
 * The load that this answers: callers that send more than the servers of the service can take. A
 * place that becomes free is given at once, by priority, then to the workspace with the fewest
 * requests in flight, then to the request whose longest wait ends first. A request that would wait
 * too long to meet its latency target is refused on arrival: were it served late, those behind it
 * would be late, too.
 */
class AdmissionQueue
{
public:
    /** Longest wait under overload, as a fraction of the time by which the servers are expected to
     * be faster than the target. Without overload the queue drains, and a request may wait for as
     * long as its target: it would come back later if it were refused. */
    static constexpr double waitFraction = 0.6;

    /** A wait up to this fraction of the target is allowed even if the target is then missed:
     * otherwise requests with a short target would be refused while less urgent ones wait. */
    static constexpr double minWaitFraction = 0.25;

    /** Weight of one request in the mean of their sizes. */
    static constexpr double meanBytesWeight = 0.05;

    struct Limits
    {
        std::size_t maxWaiting = 512;
        std::size_t maxWaitingBytes = RequestQueue::unlimited;
    };

    /** @param draw returns random numbers in [0, 1), which spread the returns of refused requests
     */
    AdmissionQueue(Limits limits, std::function<double()> draw, double phase = 0);

    CapacityShare &share() { return share_; }
    const CapacityShare &share() const { return share_; }

    /** Adds a request. @returns decisions for it and for requests that it displaces */
    std::vector<AdmissionDecision> enter(const AdmissionRequest &request, TimePoint now);

    /** Removes a request that waits, because its caller has left. */
    void leave(std::uint64_t ticket);

    /**
     * Gives the place of an admitted request back.
     *
     * @param atServers time for which it held the place; zero if no server ran it
     * @returns decisions for requests that wait
     */
    std::vector<AdmissionDecision> finish(const WorkspaceId &workspace, Duration atServers,
                                          TimePoint now);

    /** Gives out the places that have become free with time, and refuses requests whose wait has
     * ended. */
    std::vector<AdmissionDecision> advance(TimePoint now);

    /** When advance() has to be called if nothing else happens; nothing if no request waits. */
    std::optional<TimePoint> nextAt(TimePoint now) const;

    /** Whether a request may be sent to another server: no request of the same or a higher priority
     * waits for its first attempt. */
    bool mayRetry(int priority) const;

    /** Takes a place for a second attempt of an admitted request, if one is available and nobody
     * waits. @returns whether it did */
    bool tryExtra(const WorkspaceId &workspace, TimePoint now);

    /** Assigns the time after which a refused request may return, see ReturnSchedule. */
    std::chrono::milliseconds returnAfter(TimePoint now);

    std::size_t waiting() const { return queue_.size(); }

private:
    Duration longestWait(const AdmissionRequest &request, TimePoint now) const;

    /** Time by which the request should be admitted; the earliest comes first in its workspace. */
    static TimePoint precedence(const AdmissionRequest &request, Duration wait, TimePoint now);
    void take(const WorkspaceId &workspace, TimePoint now);
    AdmissionDecision refuse(std::uint64_t ticket, TimePoint now);
    void admitWaiting(TimePoint now, std::vector<AdmissionDecision> &decisions);

    /** What a waiting request counts against Limits::maxWaitingBytes: at least the mean of all, as
     * otherwise small requests would fill what large ones leave, and no large one would fit. */
    std::size_t countedBytes(std::size_t bytes);

    std::function<double()> draw_;
    CapacityShare share_;
    FairShare inFlight_;
    RequestQueue queue_;
    ReturnSchedule returns_;

    /** Moving average of the sizes of requests that found no free place. */
    double meanBytes_ = 0;
};

} // namespace jy
