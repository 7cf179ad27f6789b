#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_core/versions/OutcomeTable.h"

#include <chrono>
#include <map>
#include <tuple>
#include <vector>

namespace jy {

/**
 * Time to first token above which a timed request counts as slow: a multiple of the old version's
 * mean, or the service target of 1.4 s while the old version has too few timed requests.
 */
std::chrono::milliseconds slowThreshold(const OutcomeSum &oldVersion);

/** Outcome of one finished request of a chat that a move covers, as observed by the owner. */
struct MoveOutcome
{
    MoveId move;
    VersionId version;
    std::string route;
    bool ok = true;

    /** The request is known not to have reused a cached prefix. */
    bool cacheMiss = false;
    std::chrono::milliseconds firstToken{0};

    /** The engine is on its cold-start ramp, so its time to first token is not counted. */
    bool cold = false;
};

/** Counts request outcomes per time slot on one owner, for its reports to the coordinator. */
class OutcomeCounter
{
public:
    /** Length of a time slot; two slots per second keep the detection time below 3 s. */
    static constexpr std::chrono::milliseconds slotLength{500};

    /** Number of past slots repeated in each report, so that a lost report leaves no gap. */
    static constexpr std::uint64_t reportedSlots = 8;

    /** @returns the number of the slot that contains a wall-clock time. */
    static std::uint64_t slotOf(WallTime wall);

    void record(const MoveOutcome &outcome, WallTime wall);
    void setSlowThreshold(const MoveId &move, std::chrono::milliseconds threshold);

    /** @returns the cumulative counts of the recent slots of a move; discards older slots. */
    std::vector<OutcomeCount> report(const MoveId &move, WallTime wall);

private:
    std::map<MoveId, std::chrono::milliseconds> thresholds_;
    std::map<std::tuple<MoveId, std::uint64_t, VersionId, std::string>, OutcomeCount> counts_;
};

} // namespace jy
