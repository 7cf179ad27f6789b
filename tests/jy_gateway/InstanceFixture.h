#pragma once

#include "FleetFixture.h"

#include "jy_gateway/limits/ServerRateLimits.h"
#include "jy_gateway/placement/ServerChooser.h"

#include <string>

namespace jy::test {

inline const TimePoint start{std::chrono::hours(1)};

/** Placement state of one instance: fleet view, request counts, server health and chooser. */
struct Instance
{
    explicit Instance(const std::string &id = "instance")
        : cold(InstanceId(id))
        , rateLimits(InstanceId(id))
        , chooser(fleet, loads, health, backoff, stalls, cold, rateLimits, reports)
    {
        fleet.apply(ConfigWritten{twoServices()}, start);
    }

    void add(int count, const ServiceId &service)
    {
        for (int i = 0; i < count; ++i)
            fleet.apply(ServerWritten{server("s" + std::to_string(i), service)}, start);
    }

    Placement choose(const ServiceId &service, std::uint64_t affinity = 0, double draw = 0)
    {
        return chooser.choose(
            {.service = service, .affinity = affinity, .sharedTokens = longPrefix}, draw, start);
    }

    FleetView fleet;
    LoadTable loads;
    ServerHealth health;
    ServerBackoff backoff;
    StallDetector stalls{[](const ServerId &) { return false; }};
    ColdAllowance cold;
    ServerRateLimits rateLimits;
    ServerReports reports;
    ServerChooser chooser;
};

} // namespace jy::test
