// The part of RelayExchange that records what an attempt shows about its server and its prompt.

#include "jy_gateway/relay/RelayExchange.h"
#include "jy_runtime/logging/Log.h"

#include <absl/strings/str_join.h>

#include <array>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

} // namespace

void RelayExchange::noteBroken(const ServerId &server, BreakPoint point)
{
    const auto now = Clock::now();
    if (point != BreakPoint::InBody)
        relay_.dependencies_.quarantine.connectionEnded(parts_, server,
                                                        point == BreakPoint::AfterHead
                                                            ? CrashEvidence::ResponseBegun
                                                            : CrashEvidence::BeforeResponse,
                                                        now);
    if (!relay_.failedLines_.allow(now))
        return;
    constexpr std::array names = {"before-head", "after-head", "in-body"};
    logEvent(LogLevel::Info, "attempt-broken",
             {{"request", metadata_.id},
              {"server", server},
              {"attempt", outcome_.attempts},
              {"point", names[static_cast<std::size_t>(point)]},
              {"after_ms", now - attemptStart_},
              {"parts", absl::StrJoin(parts_, ",")}});
}

void RelayExchange::noteBegan(TimePoint time)
{
    if (!std::exchange(began_, true) && relay_.dependencies_.attemptBegan)
        relay_.dependencies_.attemptBegan(workspace_, time);
}

void RelayExchange::applyServerState(const ResponseMetadata &metadata,
                                     const RegisteredServer &server)
{
    // The response came from another server that now has the address.
    if (metadata.misdirected)
        return;
    auto &dependencies = relay_.dependencies_;
    const auto now = Clock::now();
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

void RelayExchange::recordCompleted(const ServerId &server)
{
    record(server, ServerOutcome::Succeeded);
    relay_.dependencies_.quarantine.responseCompleted(parts_, Clock::now());
}

void RelayExchange::recordWait()
{
    relay_.waits_.add(route_.name, std::chrono::ceil<milliseconds>(Clock::now() - attemptStart_));
}

void RelayExchange::record(const ServerId &server, ServerOutcome outcome)
{
    relay_.dependencies_.health.record(server, outcome, Clock::now());
}

} // namespace jy
