#include "jy_core/versions/OutcomeCounter.h"

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t requestsForThreshold = 20;
constexpr std::uint64_t slowMultiple = 2;

// A shorter threshold would count scheduling delays of a fast engine as a fault.
constexpr milliseconds shortestThreshold{50};

milliseconds threshold(std::uint64_t requests, std::uint64_t totalMs, milliseconds fallback)
{
    if (requests < requestsForThreshold)
        return fallback;
    return std::max(shortestThreshold, milliseconds(slowMultiple * totalMs / requests));
}

} // namespace

SlowThresholds slowThresholds(const OutcomeSum &oldVersion)
{
    const SlowThresholds target;
    SlowThresholds result;
    result.cacheHit = threshold(oldVersion.cacheHits, oldVersion.hitFirstTokenMs, target.cacheHit);
    result.cacheMiss =
        threshold(oldVersion.cacheMisses, oldVersion.missFirstTokenMs, target.cacheMiss);
    return result;
}

std::uint64_t OutcomeCounter::slotOf(WallTime wall)
{
    return static_cast<std::uint64_t>(wall.time_since_epoch() / slotLength);
}

void OutcomeCounter::record(const MoveOutcome &outcome, WallTime wall)
{
    const auto slot = slotOf(wall);
    auto &count = counts_[{outcome.move, slot, outcome.version, outcome.route}];
    count.move = outcome.move;
    count.version = outcome.version;
    count.route = outcome.route;
    count.slot = slot;
    ++count.requests;
    if (!outcome.ok) {
        ++count.errors;
        return;
    }
    const auto limits = thresholds_[outcome.move];
    if (outcome.firstToken > (outcome.cacheHit ? limits.cacheHit : limits.cacheMiss))
        ++count.slow;
    const auto firstTokenMs =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, outcome.firstToken.count()));
    (outcome.cacheHit ? count.cacheHits : count.cacheMisses) += 1;
    (outcome.cacheHit ? count.hitFirstTokenMs : count.missFirstTokenMs) += firstTokenMs;
}

void OutcomeCounter::setThresholds(const MoveId &move, SlowThresholds thresholds)
{
    thresholds_[move] = thresholds;
}

std::vector<OutcomeCount> OutcomeCounter::report(const MoveId &move, WallTime wall)
{
    const auto newest = slotOf(wall);
    std::erase_if(counts_, [&](const auto &entry) {
        return std::get<0>(entry.first) == move
            && std::get<1>(entry.first) + reportedSlots < newest;
    });
    std::vector<OutcomeCount> result;
    for (const auto &[key, count] : counts_) {
        if (std::get<0>(key) == move)
            result.push_back(count);
    }
    return result;
}

} // namespace jy
