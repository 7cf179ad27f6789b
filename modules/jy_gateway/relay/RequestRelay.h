#pragma once

#include "jy_core/limits/RetryBudget.h"
#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/limits/PromptQuarantine.h"
#include "jy_gateway/limits/ServerRateLimits.h"
#include "jy_gateway/placement/ServerChooser.h"
#include "jy_gateway/relay/LogRateLimiter.h"
#include "jy_gateway/relay/RouteWaits.h"
#include "jy_gateway/relay/ServiceAdmission.h"
#include "jy_gateway/rollouts/RolloutTraffic.h"
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

    /** Time for which the request waited for a place at the servers of its service. */
    Duration waited{0};

    /** Time from the request to the first part of its response; 0 before it arrives. */
    Duration firstPart{0};

    /** Longest time between two parts of a stream. */
    Duration longestPause{0};

    /** Server whose prompt cache was offered as the source of the prompt's shared parts; may be
     * empty. */
    ServerId copySource;

    /** Key of the prompt's shared parts, number of servers known to have them cached, and number
     * of tokens in them; 0 for requests without a prompt. */
    std::uint32_t prompt = 0;
    std::size_t holders = 0;
    std::int64_t sharedTokens = 0;
};

struct RelaySettings
{
    /** Timeout for connecting to a backend server; on the same network this usually takes 2 ms. */
    std::chrono::milliseconds connectTimeout{250};

    /**
     * Time without progress after which a resumable stream continues at another server. Half of
     * the shortest pause after which callers give up (two seconds).
     */
    std::chrono::milliseconds resumeSilence{1000};

    /**
     * Longest time for which a request waits for the first configuration. A new instance reads it
     * within a tenth of this time. Requests wait because a refused caller may have no attempt left.
     */
    std::chrono::milliseconds startupWait{500};

    /** Fraction of a service's requests that may be retried; the fleet's limit is twice this. */
    double retryShare = 0.1;

    /**
     * Maximum number of log lines per second, counted separately for successful and failed
     * requests. Ten times the request rate of an instance at the fleet size planned in two years.
     */
    int logLinesPerSecond = 100;

    /** Parts of a prompt that are stored while a request runs, the last ones of longer prompts. */
    std::size_t maxPromptParts = 256;
};

/** References must outlive the relay. */
struct RelayDependencies
{
    EventLoop &loop;
    HttpClient &client;
    FleetView &fleet;
    LoadTable &loads;
    ServerHealth &health;
    ServerBackoff &backoff;
    ServerChooser &chooser;
    PromptCacheIndex &prompts;
    StallDetector &stalls;
    PromptQuarantine &quarantine;
    ServerRateLimits &rateLimits;
    ServerReports &reports;
    RolloutTraffic &rollouts;
    const CallerProtocol &protocol;
    Metrics &metrics;

    /** Null if requests are sent without a limit to what the servers can take. */
    ServiceAdmission *admission = nullptr;

    /** Memory limit for the bodies of requests and responses. */
    std::shared_ptr<ByteBudget> bodyBudget;

    /** Waits for the first configuration; returns early if none is expected within @p longest. */
    std::function<void(std::chrono::milliseconds longest)> awaitConfig;

    /** Expected time until this instance has its first configuration. */
    std::function<std::chrono::milliseconds()> readyAfter;

    /** Retries per second that this instance may make regardless of the request rate. */
    std::function<double()> minimumRetryRate;

    /** Whether a request may still be passed on; may be empty. @see ShutdownAdmission */
    std::function<bool(TimePoint now, TimePoint deadline)> admits;

    /** Called when a backend server is known to have begun to run an attempt; may be empty. */
    std::function<void(const WorkspaceId &workspace, TimePoint began)> attemptBegan;
};

/**
 * Handles caller requests: finds the route and workspace, chooses a backend server, forwards the
 * request and relays exactly one response.
 *
 * The route's kind decides what may be retried: a request of an unsafe route goes to another server
 * only if no byte of it was written or the first server stated that it did not run.
 */
class RequestRelay
{
public:
    RequestRelay(RelayDependencies dependencies, RelaySettings settings, std::uint64_t seed);

    /** Handles one request; runs in the fiber of its connection. */
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
    LogRateLimiter successLines_;
    LogRateLimiter failedLines_;
};

} // namespace jy
