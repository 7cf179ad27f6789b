#include "jy_gateway/peers/HeartbeatSchedule.h"

namespace jy {

namespace {

// Outcome counts decay over time; an increase of more than this indicates a new failure.
constexpr double newFailureThreshold = 0.5;

} // namespace

bool HeartbeatSchedule::nextIsBrief(const OutcomeCountsByServer &outcomes)
{
    double failures = 0;
    for (const auto &[server, seen] : outcomes)
        failures += seen.failed;
    const bool failed = failures > reportedFailures_ + newFailureThreshold;
    reportedFailures_ = failures;
    if (!failed && ++briefHeartbeats_ < fullHeartbeatInterval)
        return true;
    briefHeartbeats_ = 0;
    return false;
}

} // namespace jy
