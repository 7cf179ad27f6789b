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

/** What may be repeated of the requests of a route. */
enum class RequestKind {
    Safe, /**< may run any number of times */
    Unsafe, /**< runs at most once */
    Stream, /**< an event stream; runs at most once unless the route is resumable */
};

/** Part of a route's traffic. */
struct ServiceShare
{
    ServiceId service;

    /** Relative to the sum over the route. */
    double weight = 1;
};

/** Requests for one host below one path prefix. */
struct Route
{
    std::string name;
    std::string host;

    /** Begins and ends with a slash. */
    std::string prefix;

    RequestKind kind = RequestKind::Unsafe;

    /** A stream may continue at another backend server after its last delivered event. */
    bool resumable = false;

    std::vector<ServiceShare> shares;

    /** Longest time that a request may wait for the end of its answer. */
    std::chrono::milliseconds timeout{30000};

    /** Time to the answer, for streams to the first event, that callers expect. */
    std::chrono::milliseconds latencyTarget{1000};

    /** Longest pause between two events of a stream that callers expect. */
    std::chrono::milliseconds pauseTarget{1000};

    /** Backend servers that one request may be sent to. */
    int maxAttempts = 1;

    /** 0 is the most urgent. */
    int priority = 0;

    /** Needs no workspace key. */
    bool open = false;

    /** Requests carry prompts whose prefix a backend server may have cached. */
    bool cachesPrompts = false;

    /** Whether a request may be sent again after it may have run. */
    bool repeatable() const
    {
        return kind == RequestKind::Safe || (kind == RequestKind::Stream && resumable);
    }
};

/** Limits of the backend servers of one service. */
struct ServicePolicy
{
    ServiceId id;

    /** Connections that one backend server accepts from all instances together. */
    int maxConnections = 0;

    /** Time for which a backend server that has just started is cold. */
    std::chrono::milliseconds coldDuration{0};

    /** Requests a second that one cold backend server tolerates from all instances; 0: no limit. */
    double coldRequestsPerSecond = 0;

    /** Tokens that the cache of one model engine holds; 0 for plain services. */
    std::int64_t cacheTokens = 0;

    /** Size of one cached token, and bandwidth of the links between engines; 0 when engines cannot
     * copy from each other's caches. */
    std::int64_t cacheTokenBytes = 0;
    double cacheLinkMbps = 0;
};

/** Bounds on what callers may send. */
struct CallerLimits
{
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds requestTimeout{15000};
    std::chrono::milliseconds idleTimeout{15000};
};

/** The workspace that holds a key. */
struct WorkspaceAccess
{
    WorkspaceId workspace;

    /** Goes before the priority of the route. */
    std::optional<int> priority;
};

/** One version of the operator's routing configuration. Immutable once in use. */
class RoutingConfig
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;

    /** Without workspaces, no request needs a key. */
    bool hasWorkspaces = false;

    void addRoute(Route route);
    void addService(ServicePolicy policy);
    void addKey(const std::string &key, WorkspaceAccess access);

    /**
     * The route of the host whose prefix is the longest that begins @p path.
     *
     * @param host value of the Host header; a port is ignored
     * @param path without query
     * @returns null when no route matches
     */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** @returns null for an unknown service. */
    const ServicePolicy *findService(const ServiceId &service) const;

    /** @returns null for an unknown key. */
    const WorkspaceAccess *findKey(std::string_view key) const;

    std::size_t routeCount() const;
    std::size_t keyCount() const { return keys_.size(); }

private:
    // By host; each list is ordered by falling length of the prefix.
    std::map<std::string, std::vector<Route>, std::less<>> routes_;
    std::map<ServiceId, ServicePolicy> services_;
    std::unordered_map<std::string, WorkspaceAccess> keys_;
};

/** Picks the service of a request by the weights of the route. @param point in [0, 1) */
const ServiceId &pickService(const Route &route, double point);

std::string_view toString(RequestKind kind);

} // namespace jy
