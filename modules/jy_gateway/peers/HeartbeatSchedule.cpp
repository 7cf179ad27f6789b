#include "jy_gateway/peers/HeartbeatSchedule.h"

namespace jy {

namespace {

// Outcome counts decay with time, so only a rise of more than this is a new failure.
constexpr double newFailure = 0.5;

} // namespace

bool HeartbeatSchedule::nextIsBrief(const OutcomeCountsByServer &outcomes)
{
    double failures = 0;
    for (const auto &[server, seen] : outcomes)
        failures += seen.failed;
    const bool failed = failures > failuresTold_ + newFailure;
    failuresTold_ = failures;
    if (!failed && ++briefHeartbeats_ < fullHeartbeatInterval)
        return true;
    briefHeartbeats_ = 0;
    return false;
}

} // namespace jy
