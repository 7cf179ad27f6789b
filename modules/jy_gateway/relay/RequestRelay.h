#pragma once

#include "jy_core/limits/RetryBudget.h"
#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/placement/ServerChooser.h"
#include "jy_gateway/relay/LogBudget.h"
#include "jy_gateway/relay/RouteWaits.h"
#include "jy_http/client/HttpClient.h"
#include "jy_http/messages/ByteBudget.h"
#include "jy_http/server/HttpResponder.h"
#include "jy_runtime/metrics/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace jy {

/** How a request ended, for its log line and the metrics. */
struct RelayOutcome
{
    int status = 0;
    std::string reason;
    ServerId server;
    int attempts = 0;

    /** Why the last server was chosen, and what was in flight there. */
    PlacementReason placement = PlacementReason::NoServer;
    int load = 0;

    /** From the request to the first part of its answer; 0 before it. */
    Duration firstPart{0};

    /** Longest time between two parts of a stream. */
    Duration longestPause{0};

    /** Server from whose cache the prompt's shared parts were to be copied; may be empty. */
    ServerId copySource;

    /** Key of the prompt's shared parts, how many servers were known to have them, and their
     * tokens; 0 for requests without a prompt. */
    std::uint32_t prompt = 0;
    std::size_t holders = 0;
    std::int64_t sharedTokens = 0;
};

struct RelaySettings
{
    /** Time to connect to a backend server; a live one on the same network answers in 2 ms. */
    std::chrono::milliseconds connectTimeout{250};

    /**
     * Silence of a resumable stream after which it continues elsewhere; half of the shortest gap
     * after which callers leave (two seconds).
     */
    std::chrono::milliseconds resumeSilence{1000};

    /**
     * Time for which requests wait for the first configuration. An instance that has just started
     * reads it within a tenth of this; a caller that is refused may have no attempt left.
     */
    std::chrono::milliseconds startupWait{500};

    /** Share of a service's requests that may be sent again; the fleet's bound is twice this. */
    double retryShare = 0.1;

    /**
     * Lines a second about requests that were answered, and about those that were not; ten times
     * what an instance serves at the two-year size.
     */
    int logLinesPerSecond = 100;
};

/** References must outlive the relay. */
struct RelayDependencies
{
    HttpClient &client;
    FleetView &fleet;
    LoadTable &loads;
    ServerHealth &health;
    ServerBackoff &backoff;
    ServerChooser &chooser;
    PromptCacheIndex &prompts;
    StallDetector &stalls;
    const CallerProtocol &protocol;
    Metrics &metrics;

    /** Memory for bodies, of requests and of answers. */
    std::shared_ptr<ByteBudget> bodyBudget;

    /** Waits for the first configuration; returns early when none is expected within @p longest. */
    std::function<void(std::chrono::milliseconds longest)> awaitConfig;

    /** Time after which this instance is likely to know a configuration that it lacks now. */
    std::function<std::chrono::milliseconds()> readyAfter;

    /** Requests that this instance may send again each second, whatever the traffic. */
    std::function<double()> minimumRetryRate;
};

/**
 * Serves the requests of callers: finds route and workspace, chooses backend servers, forwards, and
 * sends the one answer.
 *
 * What may be sent again follows from the kind of the route: a request of an unsafe route is sent
 * to another server only if no byte of it was written or the first server stated that it did not
 * run.
 */
class RequestRelay
{
public:
    RequestRelay(RelayDependencies dependencies, RelaySettings settings, std::uint64_t seed);

    /** Answers one request; runs in the fiber of its connection. */
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    friend class RelayExchange;

    std::chrono::milliseconds startupWait(const RequestMetadata &metadata) const;
    RetryBudget &budgetFor(const ServiceId &service);
    double draw() { return uniform_(random_); }
    void finish(const HttpRequest &request, const RequestMetadata &metadata, const Route *route,
                const RelayOutcome &outcome, Duration duration);

    RelayDependencies dependencies_;
    RelaySettings settings_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_{0.0, 1.0};
    std::map<ServiceId, RetryBudget> budgets_;
    RouteWaits waits_;
    LogBudget answeredLines_;
    LogBudget failedLines_;
};

} // namespace jy
