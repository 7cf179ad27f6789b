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
 * mean, or the service target of 1.4 s while too few requests of the old version are known.
 */
std::chrono::milliseconds slowThreshold(const OutcomeSum &oldVersion);

/** One finished request of a move, as its owner saw it. */
struct MoveOutcome
{
    MoveId move;
    VersionId version;
    std::string route;
    bool ok = true;

    /** Known not to have reused a cached prefix. */
    bool cacheMiss = false;
    std::chrono::milliseconds firstToken{0};

    /** The engine is on its cold-start ramp: its time to first token is no evidence. */
    bool cold = false;
};

/** Counts the outcomes that one owner saw, in time slots, for its reports to the coordinator. */
class OutcomeCounter
{
public:
    /** Length of a time slot; two slots a second keep the detection time below 3 s. */
    static constexpr std::chrono::milliseconds slotLength{500};

    /** Slots that are reported again, so that a lost report leaves no gap. */
    static constexpr std::uint64_t reportedSlots = 8;

    /** Number of the slot that contains a wall-clock time. */
    static std::uint64_t slotOf(WallTime wall);

    void record(const MoveOutcome &outcome, WallTime wall);
    void setSlowThreshold(const MoveId &move, std::chrono::milliseconds threshold);

    /** Cumulative counts of the recent slots of a move; drops older ones. */
    std::vector<OutcomeCount> report(const MoveId &move, WallTime wall);

private:
    std::map<MoveId, std::chrono::milliseconds> thresholds_;
    std::map<std::tuple<MoveId, std::uint64_t, VersionId, std::string>, OutcomeCount> counts_;
};

} // namespace jy
