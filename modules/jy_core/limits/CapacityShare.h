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

    /** Gives a place back. @param atServers time for which it was taken */
    void requestFinished(Duration atServers, TimePoint now);

    /** When a place becomes available without another request ending; nothing if it takes that. */
    std::optional<TimePoint> nextAt(TimePoint now) const;

    /** Whether the demand exceeds what the servers can take, so that the limit applies. */
    bool contended(TimePoint now) const;

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
    int inFlight_ = 0;
};

} // namespace jy
