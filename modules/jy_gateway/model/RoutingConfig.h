#pragma once

#include "jy_base/ids/Ids.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jy {

/** Determines whether the requests of a route may be repeated. */
enum class RequestKind {
    Safe, /**< may run any number of times */
    Unsafe, /**< runs at most once */
    Stream, /**< an event stream; runs at most once unless the route is resumable */
};

/** A service's share of a route's traffic. */
struct ServiceShare
{
    ServiceId service;

    /** Relative to the sum of the route's weights. */
    double weight = 1;
};

/** Rules for the requests to one host below one path prefix. */
struct Route
{
    std::string name;
    std::string host;

    /** Begins and ends with a slash. */
    std::string prefix;

    RequestKind kind = RequestKind::Unsafe;

    /** Whether a stream may continue at another backend server after its last delivered event. */
    bool resumable = false;

    std::vector<ServiceShare> shares;

    /** Longest time from a request to the end of its response. */
    std::chrono::milliseconds timeout{30000};

    /** Time that callers expect until the response, or until the first event of a stream. */
    std::chrono::milliseconds latencyTarget{1000};

    /** Longest pause between two events of a stream that callers expect. */
    std::chrono::milliseconds pauseTarget{1000};

    /** Maximum number of backend servers that one request is sent to. */
    int maxAttempts = 1;

    /** 0 is the most urgent. */
    int priority = 0;

    /** Whether requests need no workspace key. */
    bool isPublic = false;

    /** Whether requests carry prompts whose prefix may be in a server's prompt cache. */
    bool cachesPrompts = false;

    /** Whether a request may be sent again after it may have run. */
    bool repeatable() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && resumable);
    }
};

/** How many backend servers of a service may be ordered in each failure domain. */
struct ScalingPolicy
{
    int minimum = 0;
    int maximum = 0;

    /** Time from an order until the new servers are in service. */
    std::chrono::milliseconds bootTime{0};
};

/** Limits of the backend servers of one service. */
struct ServicePolicy
{
    ServiceId id;

    /** Maximum number of connections to one backend server from all instances together. */
    int maxConnections = 0;

    /** Time for which a backend server is cold after its start. */
    std::chrono::milliseconds coldDuration{0};

    /** Requests per second to one cold backend server from all instances; 0 for no limit. */
    double coldRequestsPerSecond = 0;

    /** Capacity of one model engine's prompt cache in tokens; 0 for services without one. */
    std::int64_t cacheTokens = 0;

    /** Size of one cached token, and bandwidth of the links between engines; 0 if engines cannot
     * copy from each other's prompt caches. */
    std::int64_t cacheTokenBytes = 0;
    double cacheLinkMbps = 0;

    /** Set if the number of servers follows orders of this system. */
    std::optional<ScalingPolicy> scaling;
};

/** Limits on the size and duration of caller requests. */
struct CallerLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds requestTimeout{15000};
    std::chrono::milliseconds idleTimeout{15000};
};

/** The workspace that a key gives access to. */
struct WorkspaceAccess
{
    WorkspaceId workspace;

    /** Overrides the priority of the route. */
    std::optional<int> priority;
};

/** One version of the operator's routing configuration. Immutable once in use. */
class RoutingConfig
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;

    /** Whether the configuration defines workspaces; without them no request needs a key. */
    bool hasWorkspaces = false;

    void addRoute(Route route);
    void addService(ServicePolicy policy);
    void addKey(const std::string &key, WorkspaceAccess access);

    /**
     * Finds the host's route with the longest prefix that matches @p path.
     *
     * @param host value of the Host header; a port is ignored
     * @param path without query
     * @returns null when no route matches
     */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** @returns null for an unknown service. */
    const ServicePolicy *findService(const ServiceId &service) const;

    const std::map<ServiceId, ServicePolicy> &services() const { return services_; }

    /** @returns null for an unknown key. */
    const WorkspaceAccess *findKey(std::string_view key) const;

    std::size_t routeCount() const;
    std::size_t keyCount() const { return keys_.size(); }

private:
    // By lower-case host; each list has the longest prefixes first.
    std::map<std::string, std::vector<Route>, std::less<>> routes_;
    std::map<ServiceId, ServicePolicy> services_;
    std::unordered_map<std::string, WorkspaceAccess> keys_;
};

/** Picks a service in proportion to the route's weights. @param point random value in [0, 1) */
const ServiceId &pickService(const Route &route, double point);

std::string_view toString(RequestKind kind);

} // namespace jy
