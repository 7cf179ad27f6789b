#pragma once

#include "jy_base/time/TimeTypes.h"

#include <cstddef>
#include <optional>

namespace jy {

/** Use of a service by the whole fleet, as far as this instance knows it. */
struct FleetUse
{
    /** Requests that the servers of the service can have at once, see docs/design/overload.md. */
    int places = 0;

    /** Requests of all instances at these servers, as last reported. */
    int inFlight = 0;

    /** Requests per second that callers send to the other instances for the service. */
    double otherDemand = 0;
};

/**
 * Share of one instance in the places of a service: how many requests it may have at the servers at
 * once.
 *
 * The places are divided by demand. While the service is not contended, there is no limit.
 */
class CapacityShare
{
public:
    /** Fraction of the places in use or in demand at which the service becomes contended. */
    static constexpr double contentionThreshold = 0.85;

    /** Fraction of the places that must be in use for a high demand to count: the demand in places
     * depends on the time of a few requests, which varies. */
    static constexpr double minimumUse = 0.5;

    /** Time constant of the moving average of the requests in flight, so that a few requests at the
     * same moment are no contention. */
    static constexpr std::chrono::milliseconds inFlightTimeConstant{500};

    /** Time for which a service stays contended after the last sign of contention. */
    static constexpr std::chrono::milliseconds contentionHold{2000};

    /** Time constant of the moving average of the demand. */
    static constexpr std::chrono::milliseconds demandTimeConstant{1000};

    /** @param phase number in [0, 1) that differs between instances, so that the instances with
     *        less than one place do not all send their first requests at the same moment */
    explicit CapacityShare(double phase = 0)
        : phase_(phase)
    { }

    /** Counts a request of a caller, whether it is served or refused. */
    void requestArrived(TimePoint now);

    /** Replaces what is known of the fleet. */
    void update(const FleetUse &use, TimePoint now);

    /** Records that a server had no room for a request of this instance. */
    void serverFull(TimePoint now);

    /** Whether one more request may be sent to the servers now. */
    bool available(TimePoint now);

    /** Takes a place. */
    void requestStarted(TimePoint now);

    /** Gives a place back. @param atServers time for which it was taken; zero if no server ran the
     * request, which then does not count in the mean */
    void requestFinished(Duration atServers, TimePoint now);

    /** When a place becomes available without another request ending; nothing if it takes that. */
    std::optional<TimePoint> nextAt(TimePoint now) const;

    /** Whether the demand exceeds what the servers can take, so that the limit applies. */
    bool contended(TimePoint now) const;

    /** Whether callers send about as much as the servers can take or more, so that waiting requests
     * accumulate. */
    bool overloaded(TimePoint now) const;

    /** Places of this instance; may be a fraction. */
    double share() const;

    /** Requests per second that callers send to this instance for the service. */
    double demand(TimePoint now) const;

    int inFlight() const { return inFlight_; }

    /** Mean time for which a request takes a place; zero if unknown. */
    Duration serviceTime() const;

    /** Mean time between two places of this instance becoming free; zero if unknown. */
    Duration placeInterval() const;

private:
    /** Whole places of this instance. */
    int wholePlaces() const;

    /** Requests per second that may be in flight beyond the whole places; 0 if there are none. */
    double pacedRate() const;

    /** Requests that the paced fraction of a place allows at @p now; at most 1. */
    double savedStarts(TimePoint now) const;

    /** Whether the requests of all callers would take most of the places. */
    bool inDemand(TimePoint now) const;

    void noteContention(TimePoint now);

    /** Divides the places by the demand as of @p now. An instance that was idle would otherwise
     * have no share for its first requests until the next update(). */
    void updateShare(TimePoint now);

    double phase_;
    FleetUse use_;
    TimePoint updatedAt_;

    /** Moving average of FleetUse::inFlight. */
    double fleetInFlight_ = 0;

    int inFlight_ = 0;

    /** Demand at demandAt_. */
    double demand_ = 0;
    TimePoint demandAt_;

    /** Moving average of the time for which requests take a place, in seconds; 0 if unknown. */
    double serviceSeconds_ = 0;
    TimePoint lastFinish_;

    double share_ = 0;

    /** End of the contention; nothing if there never was one. */
    std::optional<TimePoint> contendedUntil_;

    double savedStarts_ = 0;
    TimePoint savedAt_;
};

} // namespace jy
