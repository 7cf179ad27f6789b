#include "jy_gateway/relay/RequestRelay.h"

#include "jy_gateway/relay/RelayExchange.h"
#include "jy_runtime/logging/Log.h"

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;

// Retry-After of requests that come too late in a shutdown; other instances can serve them at once.
constexpr std::chrono::milliseconds shutdownRetryAfter{100};

} // namespace

RequestRelay::RequestRelay(RelayDependencies dependencies, RelaySettings settings,
                           std::uint64_t seed)
    : dependencies_(std::move(dependencies))
    , settings_(settings)
    , random_(seed)
    , successLines_(settings.logLinesPerSecond)
    , failedLines_(settings.logLinesPerSecond)
{ }

void RequestRelay::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto start = Clock::now();
    const auto metadata =
        dependencies_.protocol.readRequestMetadata(request.headers, settings_.maxPromptParts);
    if (!dependencies_.fleet.config())
        dependencies_.awaitConfig(startupWait(metadata));
    const auto config = dependencies_.fleet.config();
    const Route *route = nullptr;
    const auto reject = [&](const Error &error) {
        auto response = errorResponse(error, metadata.id.value());
        if (error.retryAfter.count() > 0)
            dependencies_.protocol.setRetryAfter(response.headers, error.retryAfter);
        responder.send(response);
        finish(request, metadata, route, {response.status, error.message, {}, 0},
               Clock::now() - start);
    };
    if (!config)
        return reject({ErrorKind::NotReady, "no configuration yet", dependencies_.readyAfter()});
    route = config->findRoute(request.headers.value("Host"), request.path());
    if (!route)
        return reject({ErrorKind::UnknownTarget, "no route for this host and path"});
    WorkspaceId workspace;
    int priority = route->priority;
    if (config->hasWorkspaces && !route->isPublic) {
        const auto *access = config->findKey(metadata.credential);
        if (!access)
            return reject({ErrorKind::Unauthenticated, "unknown key"});
        workspace = access->workspace;
        priority = access->priority.value_or(priority);
    }
    RelayExchange exchange(*this, request, responder, config, *route, metadata, workspace, priority,
                           start);
    if (dependencies_.admits && !dependencies_.admits(Clock::now(), exchange.deadline()))
        return reject(
            {ErrorKind::ShuttingDown, "the instance is shutting down", shutdownRetryAfter});
    const auto outcome = exchange.run();
    finish(request, metadata, route, outcome, Clock::now() - start);
}

std::chrono::milliseconds RequestRelay::startupWait(const RequestMetadata &metadata) const
{
    // Leaves a caller with a short timeout most of it for the request itself.
    constexpr int callerTimeoutDivisor = 4;
    const auto most = settings_.startupWait;
    return metadata.callerTimeout ? std::min(most, *metadata.callerTimeout / callerTimeoutDivisor)
                                  : most;
}

RetryBudget &RequestRelay::budgetFor(const ServiceId &service)
{
    auto &budget = budgets_.try_emplace(service, RetryBudgetSettings{.share = settings_.retryShare})
                       .first->second;
    budget.setMinimumPerSecond(dependencies_.minimumRetryRate());
    return budget;
}

void RequestRelay::finish(const HttpRequest &request, const RequestMetadata &metadata,
                          const Route *route, const RelayOutcome &outcome, Duration duration)
{
    const auto kind = route ? toString(route->kind) : std::string_view("none");
    const MetricLabels labels{{"kind", std::string(kind)},
                              {"status", std::to_string(outcome.status)}};
    dependencies_.metrics.counter("jy_requests_total", "Requests by kind and status.", labels)
        .add();
    dependencies_.metrics
        .histogram("jy_request_seconds", "Time from a request to the end of its answer.",
                   {{"kind", std::string(kind)}})
        .observe(duration);
    auto &lines = outcome.status / 100 == 2 ? successLines_ : failedLines_;
    if (!lines.allow(Clock::now()))
        return;
    if (const auto dropped = lines.takeDropped())
        logEvent(LogLevel::Warn, "log-lines-dropped", {{"lines", dropped}});
    const auto config = dependencies_.fleet.config();
    logEvent(LogLevel::Info, "request-done",
             {{"request", metadata.id},
              {"path", request.path()},
              {"route", route ? std::string_view(route->name) : std::string_view("none")},
              {"kind", kind},
              {"status", outcome.status},
              {"outcome", outcome.reason},
              {"server", outcome.server},
              {"attempts", outcome.attempts},
              {"placement", toString(outcome.placement)},
              {"load", outcome.load},
              {"copy_from", outcome.copySource},
              {"prompt", outcome.prompt},
              {"holders", outcome.holders},
              {"shared_tokens", outcome.sharedTokens},
              {"waited_ms", outcome.waited},
              {"first_ms", outcome.firstPart},
              {"pause_ms", outcome.longestPause},
              {"config", config ? config->version : 0},
              {"duration_ms", duration}});
}

} // namespace jy
