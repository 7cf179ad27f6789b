#include "jy_core/versions/OutcomeCounter.h"

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t requestsForThreshold = 20;
constexpr std::uint64_t slowMultiple = 5;

// About a tenth of the target. While chats move, prefills of uncached prompts delay the other
// requests of an engine by up to this; with 50 ms, versions without a fault were rolled back.
constexpr milliseconds minimumThreshold{150};

// Service target: 95 % of the requests get their first token within this time.
constexpr milliseconds targetThreshold{1400};

} // namespace

milliseconds slowThreshold(const OutcomeSum &oldVersion)
{
    if (oldVersion.timed < requestsForThreshold)
        return targetThreshold;
    return std::max(minimumThreshold,
                    milliseconds(slowMultiple * oldVersion.firstTokenMs / oldVersion.timed));
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
    if (outcome.cold || outcome.cacheMiss)
        return;
    ++count.timed;
    count.firstTokenMs +=
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, outcome.firstToken.count()));
    const auto threshold = thresholds_.find(outcome.move);
    if (outcome.firstToken > (threshold == thresholds_.end() ? targetThreshold : threshold->second))
        ++count.slow;
}

void OutcomeCounter::setSlowThreshold(const MoveId &move, milliseconds threshold)
{
    thresholds_[move] = threshold;
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
