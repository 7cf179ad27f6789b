#include "jy_gateway/placement/ServerHealth.h"

#include <algorithm>
#include <cmath>

namespace jy {

namespace {

// Weight of one sample in the smoothed failure rate.
constexpr double sampleWeight = 0.2;

// Time after which half of an old failure rate is forgotten, so that a server gets another chance.
constexpr std::chrono::duration<double> halfLife{3.0};

// Pauses stop doubling here; 400 ms * 2^3 is above the longest pause.
constexpr int maxDoublings = 3;

} // namespace

void ServerHealth::record(const ServerId &server, ServerOutcome outcome, TimePoint now)
{
    const double previous = failureRate(server, now);
    auto &state = servers_[server];
    const bool failed = outcome != ServerOutcome::Answered;
    state.failureRate = previous * (1 - sampleWeight) + (failed ? sampleWeight : 0);
    state.lastSample = now;
    if (outcome == ServerOutcome::Answered || outcome == ServerOutcome::Failed) {
        state.failuresInRow = 0;
        return;
    }
    const auto pause = firstPause * (1 << std::min(state.failuresInRow, maxDoublings));
    state.pausedUntil = now + std::min<std::chrono::milliseconds>(pause, longestPause);
    ++state.failuresInRow;
}

bool ServerHealth::paused(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && now < found->second.pausedUntil;
}

double ServerHealth::failureRate(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return 0;
    const std::chrono::duration<double> age = now - found->second.lastSample;
    return found->second.failureRate * std::exp2(-age / halfLife);
}

} // namespace jy
