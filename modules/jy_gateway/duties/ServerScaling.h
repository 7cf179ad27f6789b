#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/DutyApi.h"
#include "jy_gateway/model/RoutingConfig.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace jy {

/** The servers of a service in one failure domain. */
struct ScalableDomain
{
    DomainId domain;

    /** Servers that are in service. */
    int present = 0;

    /** Requests that these servers process concurrently. */
    int slots = 0;

    /** The domain is out of service by an operator's order. */
    bool evacuated = false;
};

/** A service whose number of servers this system orders. */
struct ScalableService
{
    ServiceId service;
    ScalingPolicy policy;

    /** Requests in flight from all instances. */
    int inFlight = 0;

    std::vector<ScalableDomain> domains;
};

/**
 * Decides how many backend servers are ordered for each service and failure domain.
 *
 * Keeps the servers that are there while their load is moderate: a server that leaves takes its
 * prompt cache with it, and a new one is cold. Orders more if most slots have been busy for a
 * while, and fewer if hardly any have. Answers a load that outgrows or stays far below the servers
 * for longer than the boot time; a burst of a few seconds is over before a new server serves it.
 */
class ServerScaling
{
public:
    /** Records the load, at regular times. */
    void observe(const std::vector<ScalableService> &services, TimePoint now);

    /** The next order to be sent; nothing if the servers are as wanted. */
    std::optional<ServerOrder> next(const std::vector<ScalableService> &services,
                                    TimePoint now) const;

    /** The platform accepted an order. */
    void accepted(const ServerOrder &order, TimePoint now);

    /** Forgets what was observed and ordered, at the begin of a term as holder. */
    void reset() { services_.clear(); }

private:
    /** Share of busy slots above which servers are added, and below which they are removed. */
    static constexpr double highLoad = 0.6;
    static constexpr double lowLoad = 0.03;

    /** Share of busy slots that an order aims at. */
    static constexpr double targetLoad = 0.3;

    /** How long the load must be high or low. Bursts last for less than highTime; removing servers
     * loses prompt caches. */
    static constexpr std::chrono::seconds highTime{5};
    static constexpr std::chrono::seconds lowTime{15};

    struct Observation
    {
        TimePoint at;
        double load = 0;
        int inFlight = 0;
        int present = 0;
    };

    /** An accepted order, and when its effect shows in the load. */
    struct PlacedOrder
    {
        int count = 0;
        TimePoint effective;
    };

    struct State
    {
        std::deque<Observation> history;
        std::chrono::milliseconds bootTime{0};
        std::map<DomainId, PlacedOrder> orders;
    };

    /** Number of servers that the service needs in all domains together. */
    static int neededServers(const ScalableService &service, const std::deque<Observation> &history,
                             TimePoint now);

    std::map<ServiceId, State> services_;
};

} // namespace jy
