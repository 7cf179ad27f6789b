#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jy::bench {

struct ControlTrafficSettings
{
    std::vector<std::size_t> routerCounts{8, 16, 32, 64, 128};

    /** Simulated time after the start of all routers, until their records have spread. */
    std::chrono::seconds warmUp{60};

    /** Simulated time over which steady traffic is measured. */
    std::chrono::seconds steadyTime{30};

    /** Datagrams lost on the way, 0 to 1. */
    double loss = 0.001;

    std::uint64_t seed = 1;
};

/** Control traffic of a fleet of one size. */
struct ControlTrafficPoint
{
    std::size_t routers = 0;

    /** Sealed bytes sent per router and second without changes; as many are received. */
    double sentBytesPerSecond = 0;

    /** The busiest router. */
    double largestSentBytesPerSecond = 0;

    /** The same while a new revision spreads, over 10 s. */
    double revisionBytesPerSecond = 0;

    /** Processor time per router and simulated second, in microseconds, with codec and codes. */
    double cpuMicrosecondsPerSecond = 0;

    /** From the kill of a router until no router counts it as live. Negative: not within 30 s. */
    std::chrono::milliseconds killedKnownEverywhere{-1};

    /** From the adoption of a revision by one router until all have seen it. */
    std::chrono::milliseconds revisionSeenEverywhere{-1};

    /** Until all routers know that it is in force on all routers. */
    std::chrono::milliseconds revisionConfirmedEverywhere{-1};

    std::size_t largestDatagramBytes = 0;
};

struct ControlTrafficReport
{
    std::vector<ControlTrafficPoint> points;

    /** Least-squares slopes over the number of routers. */
    double bytesSlope = 0;
    double cpuSlope = 0;
};

/**
 * Runs Membership machines of whole fleets in this process on simulated time; they exchange sealed
 * datagrams. Network latency is 1 ms.
 */
ControlTrafficReport measureControlTraffic(const ControlTrafficSettings &settings);

} // namespace jy::bench
