#pragma once

#include "jy_gateway/registry/FleetView.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jy {

/** Outcomes of the attempts of one route at servers of one version. */
struct RolloutCounts
{
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;

    /** Attempts whose speed is known, and those of them that were slow. */
    std::uint64_t timed = 0;
    std::uint64_t slow = 0;

    bool operator==(const RolloutCounts &) const = default;
};

/** Counts by route, of the target version and of the others. */
struct RolloutOutcomes
{
    std::map<std::string, RolloutCounts> target;
    std::map<std::string, RolloutCounts> current;

    bool operator==(const RolloutOutcomes &) const = default;
};

/** Outcomes that an instance sends to those that judge a rollout. */
struct RolloutMessage
{
    ServiceId service;

    /** Store revision of the order. */
    std::uint64_t order = 0;

    RolloutOutcomes outcomes;
};

/** What one attempt shows about the version of its server. */
struct RolloutSample
{
    std::string route;
    bool ok = true;

    /** Time until the response or its first event; nothing if the server had to process a prompt
     * that others had cached. */
    std::optional<std::chrono::microseconds> first;

    /** Median time between the parts of a stream, which prompts that the server processes beside
     * it hardly change; nothing for a stream of few parts. */
    std::optional<std::chrono::microseconds> pause;

    /** Time in which callers expect the response or its first event. */
    std::chrono::milliseconds target{0};
};

/** Share of requests that a version gets before it has passed its analysis. */
struct RolloutTrafficSettings
{
    /** Fraction of the service's requests, and requests in addition, that a bad version may get
     * from all instances together. */
    double exposureShare = 0.1;
    double exposureSlack = 50;
};

/**
 * Decides which requests of this instance go to the version that a rollout introduces, and counts
 * how requests to both versions end.
 *
 * During the analysis, requests go to the new version as long as this instance stays within its
 * part of the exposure that the fleet may have. During the move, prompts go to the new version one
 * after another by their hash, so that each changes its version once.
 */
class RolloutTraffic
{
public:
    /** Part of the permitted exposure that the analysis uses. The rest is for requests that are
     * repeated and for instances that restart and count anew. */
    static constexpr double usableShare = 0.8;
    static constexpr double usableSlack = 0.5;

    /** Routes with counts of their own; further ones are counted together. */
    static constexpr std::size_t maxRoutes = 24;

    /** Multiple of the usual time above which a response or the pauses of a stream are slow. */
    static constexpr double slowFactor = 3;

    RolloutTraffic(const FleetView &fleet, RolloutTrafficSettings settings);

    void setSettings(RolloutTrafficSettings settings) { settings_ = settings; }

    /** Sets the number of live instances, which share the exposure. */
    void setInstances(std::size_t count) { instances_ = count; }

    /** Sets whether this instance hears of the progress of rollouts; otherwise it sends nothing to
     * a version under analysis. */
    void setInContact(bool inContact) { inContact_ = inContact; }

    /**
     * Assigns a new request to a version.
     *
     * @param affinity hash of the shared prompt prefix; 0 for requests without one
     * @param draw random number in [0, 1)
     */
    VersionGroup assign(const ServiceId &service, std::uint64_t affinity, double draw,
                        TimePoint now);

    /** Version for another attempt of a request. */
    VersionGroup retryGroup(const ServiceId &service) const;

    /** Number of servers of the new version that get requests during the analysis. Few, so that
     * each has the load that it will have later. @returns 0 for no limit */
    std::size_t mostServers(const ServiceId &service, std::size_t targetServers) const;

    void record(const RegisteredServer &server, const RolloutSample &sample);

    /** Counts since the order of the service's rollout. */
    const RolloutOutcomes *outcomes(const ServiceId &service) const;

    /** Time in which all requests have moved to the new version. */
    static std::chrono::milliseconds moveTime(std::chrono::milliseconds duration);

private:
    struct Service
    {
        std::uint64_t order = 0;
        double requests = 0;
        double targetRequests = 0;
        RolloutOutcomes outcomes;
    };

    /** Moving means of a route's times at the current version, in microseconds. */
    struct Usual
    {
        double first = 0;
        double pause = 0;
        int samples = 0;
    };

    const RolloutView *underWay(const ServiceId &service) const;
    Service &stateOf(const RolloutView &rollout);
    std::optional<bool> isSlow(const Usual &usual, const RolloutSample &sample) const;

    const FleetView &fleet_;
    RolloutTrafficSettings settings_;
    std::size_t instances_ = 1;
    bool inContact_ = true;
    std::map<ServiceId, Service> services_;
    std::map<std::string, Usual> usual_;
};

} // namespace jy
