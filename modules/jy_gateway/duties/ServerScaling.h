#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/DutyApi.h"
#include "jy_gateway/model/RoutingConfig.h"

#include <map>
#include <optional>
#include <vector>

namespace jy {

/** The servers of a service in one failure domain. */
struct ScalableDomain
{
    DomainId domain;

    /** Servers that are in service. */
    int present = 0;

    /** Places for requests in these servers. */
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

/** Decides how many backend servers are ordered for each service and failure domain. */
class ServerScaling
{
public:
    /** The next order to be sent; nothing if the servers are as wanted. */
    std::optional<ServerOrder> next(const std::vector<ScalableService> &services, TimePoint now);

    /** The platform accepted an order. */
    void accepted(const ServerOrder &order);

    /** Forgets the orders of an earlier term. */
    void reset() { ordered_.clear(); }

private:
    std::map<std::pair<ServiceId, DomainId>, int> ordered_;
};

} // namespace jy
