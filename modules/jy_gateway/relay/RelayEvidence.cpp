// The part of RelayExchange that records what an attempt shows about its server and its prompt.

#include "jy_gateway/placement/PlacementMetrics.h"
#include "jy_gateway/relay/RelayExchange.h"
#include "jy_runtime/logging/Log.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// A stream of fewer parts does not show the usual pause between its events.
constexpr std::size_t minPartsForPause = 3;

// Parts of a stream whose times are kept; their pauses show the speed of its server.
constexpr std::size_t maxPartTimes = 24;

} // namespace

Placement RelayExchange::place()
{
    auto &dependencies = relay_.dependencies_;
    const auto now = Clock::now();
    const auto &service = query_.service;
    const auto choose = [&](VersionGroup versions) {
        query_.versions = versions;
        const auto &fleet = dependencies.fleet;
        query_.mostServers = versions == VersionGroup::Target
            ? dependencies.rollouts.mostServers(
                service, fleet.candidates(service, now, VersionGroup::Target).size())
            : 0;
        return dependencies.chooser.choose(query_, relay_.draw(), now);
    };
    const auto assigned = outcome_.attempts == 0
        ? dependencies.rollouts.assign(service, query_.affinity, relay_.draw(), now)
        : dependencies.rollouts.retryGroup(service);
    auto placement = choose(assigned);
    const auto other = dependencies.rollouts.retryGroup(service);
    if (placement.server.empty() && assigned != other)
        placement = choose(other);
    countPlacement(dependencies.metrics, service, placement);
    return placement;
}

void RelayExchange::noteBroken(const RelayAttempt &attempt, BreakPoint point)
{
    const auto now = Clock::now();
    if (point != BreakPoint::InBody)
        relay_.dependencies_.quarantine.connectionEnded(keys_, attempt.server.id,
                                                        point == BreakPoint::AfterHead
                                                            ? CrashEvidence::ResponseBegun
                                                            : CrashEvidence::BeforeResponse,
                                                        now);
    if (!relay_.failedLines_.allow(now))
        return;
    constexpr std::array names = {"before-head", "after-head", "in-body"};
    logEvent(LogLevel::Info, "attempt-broken",
             {{"request", metadata_.id},
              {"server", attempt.server.id},
              {"attempt", attempt.number},
              {"point", names[static_cast<std::size_t>(point)]},
              {"after_ms", now - attempt.start},
              {"parts", absl::StrJoin(keys_.parts, ",")},
              {"content", keys_.request.value_or(0)}});
}

void RelayExchange::noteBegan(RelayAttempt &attempt, TimePoint time)
{
    place_.noteRun();
    if (!std::exchange(attempt.began, true) && relay_.dependencies_.attemptBegan)
        relay_.dependencies_.attemptBegan(workspace_, time);
}

void RelayExchange::noteStart(const RelayAttempt &attempt, TimePoint time)
{
    if (auto *admission = relay_.dependencies_.admission)
        admission->responseStarted(route_.name, time - attempt.start);
}

void RelayExchange::noteRefusal(const ResponseMetadata &metadata)
{
    auto *admission = relay_.dependencies_.admission;
    if (!admission || metadata.misdirected || metadata.leaving)
        return;
    const auto now = Clock::now();
    admission->serverFull(query_.service, now);
    ++fullServers_;
    lastError_.retryAfter = admission->returnAfter(query_.service, now);
}

void RelayExchange::noteClosed(const RelayAttempt &attempt, const Error &error)
{
    auto *admission = relay_.dependencies_.admission;
    const bool connected = attempt.sentAt != TimePoint();
    if (!admission || !connected || *attempt.opened)
        return;
    if (error.kind == ErrorKind::BackendBroken || error.kind == ErrorKind::ConnectFailed)
        admission->serverFull(query_.service, Clock::now());
}

void RelayExchange::applyServerState(const ResponseMetadata &metadata,
                                     const RegisteredServer &server)
{
    // The response came from another server that now has the address.
    if (metadata.misdirected)
        return;
    auto &dependencies = relay_.dependencies_;
    const auto now = Clock::now();
    if (metadata.load)
        dependencies.reports.observe(server.id, *metadata.load, now);
    if (metadata.coldLeft)
        dependencies.fleet.setServerCold(server.id, *metadata.coldLeft, now);
    if (metadata.leaving && dependencies.fleet.markServerLeaving(server.id, server.startTimeMs))
        logEvent(LogLevel::Info, "server-leaving",
                 {{"server", server.id}, {"request", metadata_.id}});
    if (dependencies.rateLimits.observe(server.id, metadata.requestLimit, now))
        logEvent(LogLevel::Info, metadata.requestLimit ? "server-limited" : "server-unlimited",
                 {{"server", server.id},
                  {"request", metadata_.id},
                  {"per_second", metadata.requestLimit.value_or(0)}});
    if (metadata.retryAfter) {
        const bool known = dependencies.backoff.until(server.id, now).has_value();
        dependencies.backoff.begin(server.id, *metadata.retryAfter, now);
        if (!known)
            logEvent(LogLevel::Info, "server-backoff",
                     {{"server", server.id},
                      {"request", metadata_.id},
                      {"retry_after_ms", *metadata.retryAfter}});
    }
}

void RelayExchange::notePart(RelayAttempt &attempt, TimePoint received)
{
    const auto &server = attempt.server.id;
    relay_.dependencies_.stalls.dataReceived(server, attempt.watch, route_.pauseTarget, received);
    if (outcome_.firstPart.count() == 0)
        outcome_.firstPart = received - start_;
    else
        outcome_.longestPause = std::max(outcome_.longestPause, received - lastPart_);
    lastPart_ = received;
    if (attempt.partTimes.size() < maxPartTimes)
        attempt.partTimes.push_back(received);
    if (std::exchange(attempt.responseStarted, true))
        return;
    noteBegan(attempt, received);
    noteStart(attempt, received);
    relay_.dependencies_.loads.responseStarted(server);
    relay_.dependencies_.reports.responseStarted(query_.service, server, received - attempt.start,
                                                 received);
    if (query_.affinity != 0)
        relay_.dependencies_.prompts.addFromResponse(query_.affinity, query_.sharedTokens, server,
                                                     received);
}

void RelayExchange::recordCompleted(RelayAttempt &attempt)
{
    record(attempt, ServerOutcome::Succeeded);
    recordForRollout(attempt, true);
    relay_.dependencies_.quarantine.responseCompleted(keys_, Clock::now());
}

bool RelayExchange::promptCachedAt(const ServerState &server) const
{
    return query_.affinity == 0
        || std::ranges::any_of(query_.holders, [&](const PromptCacheLocation &holder) {
               return holder.server == server.entry.id && holder.lastUsed >= server.since;
           });
}

void RelayExchange::recordForRollout(const RelayAttempt &attempt, bool ok)
{
    using std::chrono::microseconds;
    RolloutSample sample{.route = route_.name, .ok = ok, .target = route_.latencyTarget};
    const auto &parts = attempt.partTimes;
    if (attempt.promptCached) {
        const auto first = parts.empty() ? Clock::now() : parts.front();
        sample.first = std::chrono::duration_cast<microseconds>(first - attempt.start);
    }
    if (parts.size() >= minPartsForPause) {
        std::vector<Duration> pauses;
        for (std::size_t i = 1; i < parts.size(); ++i)
            pauses.push_back(parts[i] - parts[i - 1]);
        const auto middle = pauses.begin() + static_cast<std::ptrdiff_t>((pauses.size() - 1) / 2);
        std::ranges::nth_element(pauses, middle);
        sample.pause = std::chrono::duration_cast<microseconds>(*middle);
    }
    relay_.dependencies_.rollouts.record(attempt.server, sample);
}

void RelayExchange::recordWait(const RelayAttempt &attempt)
{
    relay_.waits_.add(route_.name, std::chrono::ceil<milliseconds>(Clock::now() - attempt.start));
}

void RelayExchange::record(const RelayAttempt &attempt, ServerOutcome outcome)
{
    relay_.dependencies_.health.record(attempt.placement.server, outcome, Clock::now());
}

} // namespace jy
