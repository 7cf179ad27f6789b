#include "jy_router/shutdown/GracefulShutdown.h"

#include <algorithm>

namespace jy {

using std::chrono::milliseconds;

std::string_view toString(ShutdownPhase phase)
{
    switch (phase) {
    case ShutdownPhase::Serving:
        return "serving";
    case ShutdownPhase::Withdrawing:
        return "withdrawing";
    case ShutdownPhase::HandingOff:
        return "handing-off";
    case ShutdownPhase::ServingCachedLookups:
        return "serving-cached-lookups";
    case ShutdownPhase::Draining:
        return "draining";
    case ShutdownPhase::Stopped:
        return "stopped";
    }
    return "stopped";
}

ShutdownReport GracefulShutdown::run()
{
    const auto started = dependencies_.now();
    const auto end = started + settings_.deadline;
    ShutdownReport report;
    enter(ShutdownPhase::Withdrawing);
    // The last lookup answer that names this router is given before this moment.
    dependencies_.withdraw();
    const auto withdrawn = dependencies_.now();
    dependencies_.announceClose();
    enter(ShutdownPhase::HandingOff);
    report.handedOff = dependencies_.handOff(std::min(settings_.handOffTimeout, timeLeft(end)));
    enter(ShutdownPhase::ServingCachedLookups);
    const auto expiry = withdrawn + dependencies_.lookupLifetime();
    const auto wait = std::min(timeLeft(expiry), timeLeft(end));
    if (wait.count() > 0)
        dependencies_.sleepFor(wait);
    enter(ShutdownPhase::Draining);
    report.interrupted = dependencies_.drain(timeLeft(end));
    dependencies_.stop();
    report.duration = std::chrono::duration_cast<milliseconds>(dependencies_.now() - started);
    enter(ShutdownPhase::Stopped);
    return report;
}

void GracefulShutdown::enter(ShutdownPhase phase)
{
    phase_ = phase;
    dependencies_.phaseStarted(phase);
}

milliseconds GracefulShutdown::timeLeft(TimePoint end) const
{
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(end - dependencies_.now()));
}

} // namespace jy
