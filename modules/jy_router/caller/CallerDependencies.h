#pragma once

#include "jy_core/ledger/LedgerTypes.h"
#include "jy_core/model/BackendServer.h"
#include "jy_core/model/DesiredState.h"
#include "jy_http/jy_http.h"
#include "jy_platform/engine/EngineClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** What a caller states about a request, read from its headers. */
struct CallContext
{
    RequestId requestId;
    WorkspaceId workspace;
    ChatId chat;

    /** Stable hash of the chat, zero without one. */
    std::uint64_t chatHash = 0;

    Priority priority = Priority::Normal;
    TimePoint received;
    TimePoint deadline;
};

struct LookupQuery
{
    WorkspaceId workspace;

    /** Empty when the caller wants to call services. */
    ModelId model;

    ChatId chat;
};

struct LookupAnswer
{
    /** Routers in order of preference; never this one while it leaves or its domain is out. */
    std::vector<Endpoint> addresses;

    std::chrono::milliseconds lifetime{5000};
    std::uint64_t revision = 0;
};

/** A request for a place at a backend server. */
struct ReserveCall
{
    CallContext context;
    BackendServer server;

    /** Outcomes are counted per route: "chat", "chat-stream" or the service's name. */
    std::string route;

    /** The server is not the first-ranked one. */
    bool displaced = false;

    /** An earlier attempt of this request may have run. */
    bool retry = false;

    /** All candidates have refused, so waiting in this server's queue is better than failing. */
    bool lastResort = false;
};

/** A place at a backend server. */
struct Reservation
{
    ReservationKey key;

    /** Differs from the requested server when an exception of the chat names another one. */
    BackendServer server;

    std::string route;
    CallContext context;
};

/** How the use of a reservation ended. */
struct CallOutcome
{
    /** False when no byte was sent or the caller left; says nothing about the server then. */
    bool hasSample = true;

    /** Absent for success; a status below 500 other than 429 is a success of the server. */
    std::optional<ErrorKind> error;

    std::optional<std::chrono::milliseconds> firstToken;
    std::chrono::milliseconds total{0};
    int tokens = 0;
    std::optional<bool> cacheHit;
};

/** A call that must not be repeated. */
struct ProtectedCallInput
{
    ServiceId service;

    /** Value of the Idempotency-Key header, not validated. */
    std::string key;

    /** Stable hash of method, path, query and body. */
    std::uint64_t digest = 0;

    TimePoint deadline;
};

/** One finished request, for logs and metrics. */
struct CallRecord
{
    std::string route;
    CallContext context;
    std::optional<Error> error;
    std::chrono::milliseconds duration{0};

    /** Attempts that sent bytes to a backend server. */
    int attempts = 0;
};

/**
 * What CallerApi needs of the rest of the router. Every hook must be set. Hooks may suspend the
 * calling fiber unless stated otherwise.
 */
struct CallerDependencies
{
    std::shared_ptr<HttpClient> client;
    EngineClient *engines = nullptr;

    std::function<std::shared_ptr<const DesiredState>()> desiredState;

    /** The state of /readyz; false while the router starts or leaves. */
    std::function<bool()> ready;

    /** Why no new request is accepted, for example NotReady; nothing while the router serves. */
    std::function<std::optional<Error>()> refusal;

    /** Whether operators have taken this router's failure domain out of service. */
    std::function<bool()> ownDomainOut;

    /** The caller address of a router in another domain for a request that must leave this one. */
    std::function<std::optional<Endpoint>(const CallContext &)> routerElsewhere;

    std::function<Result<LookupAnswer>(const LookupQuery &)> lookup;

    /** Servers for a chat and a service call, best first, at most as many as will be tried. */
    std::function<Result<std::vector<BackendServer>>(const CallContext &, const ModelId &)>
        rankEngines;
    std::function<Result<std::vector<BackendServer>>(const CallContext &, const ServiceId &)>
        rankServices;

    /** Asks the server's owner for a place, waiting in its queue at most until the deadline. */
    std::function<Result<Reservation>(const ReserveCall &)> reserve;

    /** Returns a place; called exactly once for each reservation. Must not suspend. */
    std::function<void(const Reservation &, const CallOutcome &)> release;

    /** Counts a first attempt in the retry budget. */
    std::function<void()> recordFirstAttempt;

    /** Whether the retry budget allows one more attempt, which it then counts. */
    std::function<bool()> tryRetry;

    /**
     * Claims the key, calls @p send at most once and only when the claim is recorded, and records
     * the outcome. An error of @p send whose effect is NotRun means that no byte was sent.
     */
    std::function<Result<HttpResponse>(const ProtectedCallInput &,
                                       const std::function<Result<HttpResponse>()> &send)>
        protectedCall;

    std::function<std::string()> metricsText;
    std::function<RequestId()> newRequestId;

    /** Called at the end of each chat and service request. Must not suspend. */
    std::function<void(const CallRecord &)> finished;
};

struct CallerSettings
{
    /** Deadline of a request that states none, and the longest one that a caller may state. */
    std::chrono::milliseconds defaultDeadline{60000};
    std::chrono::milliseconds maxDeadline{600000};

    /** Retry-after of errors that do not know a better one. */
    std::chrono::milliseconds defaultRetryAfter{1000};

    /** Backend servers tried for one request. */
    std::size_t maxServers = 3;
};

} // namespace jy
